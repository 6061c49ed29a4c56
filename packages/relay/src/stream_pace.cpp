#include <rattanbay/relay/stream_pace.hpp>

namespace rattanbay::relay {

bool stream_pace::record(std::size_t count, base::time_point now) {
    if (count == 0) {
        return false;
    }
    if (!first_) {
        first_ = now;
        last_ = now;
        return false;
    }
    const base::duration pause = now - last_;
    const bool is_longest = !longest_ || pause > *longest_;
    longest_ = is_longest ? pause : *longest_;
    last_ = now;
    later_events_ += count;
    return is_longest;
}

std::optional<base::duration> stream_pace::time_per_event() const {
    if (later_events_ == 0) {
        return std::nullopt;
    }
    return (last_ - *first_) / static_cast<base::duration::rep>(later_events_);
}

} // namespace rattanbay::relay
