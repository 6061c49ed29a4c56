#pragma once

#include <rattanbay/base/time.hpp>

#include <cstdint>

namespace rattanbay::relay {

/// Hash of a service and the identifier of a prompt part.
using part_key = std::uint64_t;

/// What a daemon knows of a suspected or quarantined prompt part, as told to other daemons. Times are
/// relative because the clocks of daemons differ.
struct part_record {
    part_key part = 0;
    /// Crashes with the part since an answer to a request with it got past its start.
    std::uint64_t crashes = 0;
    /// Time since the last crash, or since a request was refused because of the part.
    base::duration since_last_seen{};
    /// Time since the last crash that was not counted as one with an earlier one.
    base::duration since_last_counted{};
    bool quarantined = false;
    /// Trials that have passed since the verdict.
    std::uint64_t trials = 0;
    /// Time until the next trial; negative if it is due.
    base::duration time_to_trial{};

    friend bool operator==(const part_record&, const part_record&) = default;
};

} // namespace rattanbay::relay
