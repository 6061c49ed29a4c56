#pragma once

#include <rattanbay/object_api/vm_list.hpp>

#include <vector>

namespace rattanbay::object_api {

/// Differences between two VM lists that change which VMs get work.
struct vm_list_diff {
    /// VMs that accept work now: new ones, and those that were leaving.
    std::vector<base::vm_id> live;
    /// Listed VMs that no longer accept work.
    std::vector<base::vm_id> leaving;
    std::vector<base::vm_id> removed;

    /// Compares two lists. The results are ordered by identifier.
    static vm_list_diff between(const vm_list& before, const vm_list& after);
};

} // namespace rattanbay::object_api
