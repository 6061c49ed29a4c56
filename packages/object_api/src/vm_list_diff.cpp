#include <rattanbay/object_api/vm_list_diff.hpp>

#include <map>

namespace rattanbay::object_api {

namespace {

std::map<base::vm_id, vm_state> states_of(const vm_list& list) {
    std::map<base::vm_id, vm_state> out;
    for (const vm& row : list.vms) {
        out.emplace(row.id, row.state);
    }
    return out;
}

} // namespace

vm_list_diff vm_list_diff::between(const vm_list& before, const vm_list& after) {
    const std::map<base::vm_id, vm_state> old_states = states_of(before);
    const std::map<base::vm_id, vm_state> new_states = states_of(after);
    vm_list_diff out;
    for (const std::pair<const base::vm_id, vm_state>& row : new_states) {
        const auto it = old_states.find(row.first);
        if (it == old_states.end() || it->second != row.second) {
            (row.second == vm_state::live ? out.live : out.leaving).push_back(row.first);
        }
    }
    for (const std::pair<const base::vm_id, vm_state>& row : old_states) {
        if (!new_states.contains(row.first)) {
            out.removed.push_back(row.first);
        }
    }
    return out;
}

} // namespace rattanbay::object_api
