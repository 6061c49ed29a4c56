#pragma once

#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <optional>

namespace rattanbay::relay {

/// Times at which the events of one stream arrive. Not thread-safe.
class stream_pace {
public:
    /// Records that `count` events arrived together. Returns whether the pause before them is the longest so
    /// far.
    bool record(std::size_t count, base::time_point now);

    /// Longest time between two arrivals; nothing before the second one.
    std::optional<base::duration> longest_pause() const { return longest_; }

    /// Mean time per event after the first arrival; nothing before the second one.
    std::optional<base::duration> time_per_event() const;

private:
    std::optional<base::time_point> first_;
    base::time_point last_;
    /// Events after those of the first arrival.
    std::size_t later_events_ = 0;
    std::optional<base::duration> longest_;
};

} // namespace rattanbay::relay
