#pragma once

#include <rattanbay/base/time.hpp>

#include <cstddef>

namespace rattanbay::membership {

/// Judges, from what a daemon knows alone, whether it sees enough of the members to take a role that only a
/// few daemons may have in sum. Not thread-safe.
///
/// A daemon that has just started knows few members, and one that is cut off loses them. As a daemon has to
/// see more than a third of the members that it saw lately, at most two groups that do not see each other can
/// take a role at the same time.
class view_check {
public:
    explicit view_check(base::time_point start);

    /// Records the number of live members, this daemon included.
    void record(std::size_t live_members, base::time_point now);

    /// Whether the daemon may take a role. `has_seeds` says whether it was told of other daemons.
    bool is_sufficient(bool has_seeds, base::time_point now) const;

private:
    const base::time_point start_;
    std::size_t live_ = 0;
    /// Largest numbers in the current window and in the one before.
    std::size_t peak_ = 0;
    std::size_t earlier_peak_ = 0;
    base::time_point window_start_;
};

} // namespace rattanbay::membership
