#include "internal/window_table.hpp"

#include <algorithm>
#include <cassert>

namespace rattanbay::ledger::internal {

window_table::window_table(base::duration window_length, base::duration retention, base::time_point now)
    : window_length_(window_length)
    , retention_(retention)
    , start_time_(now) {}

base::time_point window_table::next_window_start() const {
    return start_time_ + window_length_ * static_cast<base::duration::rep>(current_window_ + 1);
}

void window_table::advance(base::time_point now) {
    const base::duration age = now - start_time_;
    current_window_ = std::max(current_window_, static_cast<std::uint64_t>(age / window_length_));
    // Window n accepts new keys until the end of window n + 1, and the retention time begins then.
    const base::duration expired_duration = age - retention_ - window_length_;
    if (expired_duration >= window_length_) {
        first_window_ =
            std::max(first_window_, static_cast<std::uint64_t>(expired_duration / window_length_));
    }
}

std::optional<key_entries> window_table::take_expired() {
    const auto it = windows_.begin();
    if (it == windows_.end() || it->first >= first_window_) {
        return std::nullopt;
    }
    key_entries expired = std::move(it->second);
    windows_.erase(it);
    return expired;
}

key_entry* window_table::find(const entry_id& id) {
    const auto window = windows_.find(id.window);
    if (window == windows_.end()) {
        return nullptr;
    }
    const auto it = window->second.find(id.key_hash);
    return it == window->second.end() ? nullptr : &it->second;
}

key_entry& window_table::insert(const entry_id& id, const base::hash128& body_hash) {
    assert(id.window >= first_window_);
    const auto [it, inserted] = windows_[id.window].try_emplace(id.key_hash);
    assert(inserted);
    static_cast<void>(inserted);
    it->second.body_hash = body_hash;
    return it->second;
}

} // namespace rattanbay::ledger::internal
