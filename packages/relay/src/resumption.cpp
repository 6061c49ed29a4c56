#include <rattanbay/relay/resumption.hpp>

namespace rattanbay::relay {

bool needs_current_list(const resumption_knowledge& known) {
    return !known.origin && known.active_versions.size() == 1 && known.knows_former_versions &&
           known.was_answered && !known.is_list_current;
}

resumption decide_resumption(const base::service_name& service, const resumption_knowledge& known) {
    if (known.origin) {
        return {resumption_basis::recorded, known.origin};
    }
    // A daemon that reaches no other one may not know of a version that has left.
    const bool is_current = known.was_answered && known.is_list_current;
    if (known.active_versions.size() != 1 || !known.knows_former_versions || !is_current) {
        return {};
    }
    return {resumption_basis::only_version, stream_origin{service, *known.active_versions.begin()}};
}

} // namespace rattanbay::relay
