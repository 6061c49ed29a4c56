#include <rattanbay/relay/resumption.hpp>

namespace rattanbay::relay {

namespace {

/// Age of the list of endpoints up to which it is taken to name all versions that serve. After a change, a
/// daemon that follows others may wait 4 s, and the platform answers a watch without changes after 8 s.
constexpr std::chrono::seconds max_list_age{15};

} // namespace

resumption decide_resumption(const base::service_name& service, const resumption_knowledge& known) {
    if (known.origin) {
        return {resumption_basis::recorded, known.origin};
    }
    // A daemon that reaches neither the platform nor other daemons may not know of a new version.
    const bool is_current = known.was_answered && known.list_age <= max_list_age;
    if (known.active_versions.size() != 1 || !known.knows_former_versions || !is_current) {
        return {};
    }
    return {resumption_basis::only_version, stream_origin{service, *known.active_versions.begin()}};
}

} // namespace rattanbay::relay
