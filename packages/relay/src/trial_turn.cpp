#include <rattanbay/relay/trial_turn.hpp>

namespace rattanbay::relay {

namespace {

/// Time for which an absent member is remembered; most are processes that have ended.
constexpr std::chrono::hours absence_memory{1};
constexpr std::size_t max_absent = 1024;

} // namespace

bool trial_turn::update_members(const std::set<base::incarnation>& live, base::time_point now) {
    bool returned = false;
    for (const base::incarnation& member : live) {
        const auto it = absent_.find(member);
        if (it != absent_.end()) {
            returned = returned || now - it->second >= min_absence;
            absent_.erase(it);
        }
    }
    for (const base::incarnation& member : live_) {
        if (!live.contains(member) && absent_.size() < max_absent) {
            absent_.emplace(member, now);
        }
    }
    std::erase_if(absent_, [now](const auto& row) { return now - row.second > absence_memory; });
    live_ = live;
    return returned;
}

void trial_turn::observe(const std::set<base::incarnation>& live, bool is_holder, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool returned = update_members(live, now);
    const bool paused = now - last_observed_ > max_pause;
    last_observed_ = now;
    if (!is_holder) {
        held_since_.reset();
    } else if (!held_since_ || returned || paused) {
        held_since_ = now;
    }
}

bool trial_turn::is_allowed(base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return held_since_ && now - last_observed_ <= max_pause && now - *held_since_ >= takeover_wait;
}

} // namespace rattanbay::relay
