#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <deque>
#include <optional>

namespace rattanbay::emulator {

/// VM list with a propagation delay: each list becomes visible a fixed lag after it was set. The
/// first list is visible immediately, because the platform of a running installation already knows
/// its VMs.
class lagged_vm_list {
public:
    explicit lagged_vm_list(base::duration lag)
        : lag_(lag) {}

    /// Sets the list. Its version must be higher than those of earlier lists.
    void set(object_api::vm_list list, base::time_point now);

    /// Returns the list visible at `at`; version 0 if there is none.
    object_api::vm_list visible(base::time_point at) const;

    /// Returns the time after `at` at which the next list becomes visible, if there is one.
    std::optional<base::time_point> next_change(base::time_point at) const;

private:
    struct entry {
        base::time_point from;
        object_api::vm_list list;
    };

    /// Maximum number of lists retained for stale reads.
    static constexpr std::size_t max_entries = 64;

    base::duration lag_;
    std::deque<entry> entries_;
};

} // namespace rattanbay::emulator
