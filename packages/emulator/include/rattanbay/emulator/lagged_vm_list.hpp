#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <deque>
#include <optional>

namespace rattanbay::emulator {

/// The VM list as readers see it: each list becomes visible a fixed lag after it was set. The
/// first one is visible at once, as the platform knows the VMs of a running installation.
class lagged_vm_list {
public:
    explicit lagged_vm_list(base::duration lag)
        : lag_(lag) {}

    /// Sets the list; its version is above those of earlier lists.
    void set(object_api::vm_list list, base::time_point now);

    /// The list that readers see at `at`; version 0 when none is visible yet.
    object_api::vm_list visible(base::time_point at) const;

    /// When the next list becomes visible after `at`, if one is set.
    std::optional<base::time_point> next_change(base::time_point at) const;

private:
    struct entry {
        base::time_point from;
        object_api::vm_list list;
    };

    /// Lists kept for stale reads.
    static constexpr std::size_t max_entries = 64;

    base::duration lag_;
    std::deque<entry> entries_;
};

} // namespace rattanbay::emulator
