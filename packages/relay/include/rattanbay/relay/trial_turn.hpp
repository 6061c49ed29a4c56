#pragma once

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/time.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <set>

namespace rattanbay::relay {

/// Decides when a daemon may let trials of quarantined prompt parts pass. One daemon at a time, the holder of
/// the turn, does so. A daemon that becomes the holder does not know what its predecessor did last, as the
/// predecessor may have been killed and its messages lost. It waits as if a trial had just passed. The same
/// holds after a pause of the process, and when a member returns after an absence in which it may have been
/// the holder by its own view. Thread-safe.
class trial_turn {
public:
    /// With the intervals of `part_quarantine`, any four trials of a part span more than 60 s whoever lets
    /// them pass.
    static constexpr std::chrono::seconds takeover_wait{30};
    /// Absence of a member that counts as one in which it may have been the holder. It is shorter than
    /// `takeover_wait`, as the two sides notice a cut at different times.
    static constexpr std::chrono::seconds min_absence{20};
    /// Time without an observation that counts as a pause.
    static constexpr std::chrono::seconds max_pause{2};

    /// Takes note of the live members, which include this daemon, and of whether this daemon is the holder.
    void observe(const std::set<base::incarnation>& live, bool is_holder, base::time_point now);

    /// Whether trials that are due may pass.
    bool is_allowed(base::time_point now) const;

private:
    bool update_members(const std::set<base::incarnation>& live, base::time_point now);

    mutable std::mutex mutex_;
    base::time_point last_observed_;
    std::optional<base::time_point> held_since_;
    std::set<base::incarnation> live_;
    /// Members that were live, with the time since which they are not.
    std::map<base::incarnation, base::time_point> absent_;
};

} // namespace rattanbay::relay
