#include <rattanbay/telemetry/timeline.hpp>

#include <cassert>
#include <chrono>

namespace rattanbay::telemetry {

timeline::timeline(std::size_t capacity)
    : capacity_(capacity) {
    assert(capacity > 0);
}

void timeline::record(timeline_entry entry) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (entries_.size() == capacity_) {
        entries_.pop_front();
    }
    entries_.push_back(std::move(entry));
}

template <class Predicate> std::vector<timeline_entry> timeline::filter(Predicate matches) const {
    std::vector<timeline_entry> out;
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const timeline_entry& entry : entries_) {
        if (matches(entry)) {
            out.push_back(entry);
        }
    }
    return out;
}

std::vector<timeline_entry> timeline::find_by_request(const base::request_id& request) const {
    return filter([&request](const timeline_entry& entry) { return entry.request == request; });
}

std::vector<timeline_entry> timeline::find_by_time(std::int64_t since_us, std::int64_t until_us) const {
    return filter([since_us, until_us](const timeline_entry& entry) {
        return entry.wall_us >= since_us && entry.wall_us < until_us;
    });
}

std::int64_t wall_clock_us() {
    const std::chrono::system_clock::duration now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace rattanbay::telemetry
