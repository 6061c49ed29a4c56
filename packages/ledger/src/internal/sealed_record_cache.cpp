#include "internal/sealed_record_cache.hpp"

namespace rattanbay::ledger::internal {

const sealed_record* sealed_record_cache::find(const window_id& id) {
    const auto it = index_.find(id);
    if (it == index_.end()) {
        return nullptr;
    }
    entries_.splice(entries_.begin(), entries_, it->second);
    return &it->second->second;
}

void sealed_record_cache::insert(const window_id& id, sealed_record record) {
    if (index_.contains(id) || record.memory_bytes() > max_bytes_) {
        return;
    }
    total_bytes_ += record.memory_bytes();
    entries_.emplace_front(id, std::move(record));
    index_.emplace(id, entries_.begin());
    while (total_bytes_ > max_bytes_) {
        total_bytes_ -= entries_.back().second.memory_bytes();
        index_.erase(entries_.back().first);
        entries_.pop_back();
    }
}

} // namespace rattanbay::ledger::internal
