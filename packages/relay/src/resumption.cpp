#include <rattanbay/relay/resumption.hpp>

namespace rattanbay::relay {

namespace {

/// Age of the list of endpoints up to which it is taken to name all versions that serve. The platform answers
/// a watch without changes after 8 s.
constexpr std::chrono::seconds max_list_age{10};

} // namespace

resumption decide_resumption(const base::service_name& service, const resumption_knowledge& known) {
    if (known.origin) {
        return {resumption_basis::recorded, known.origin};
    }
    if (known.active_versions.size() != 1 || !known.knows_former_versions || known.list_age > max_list_age) {
        return {};
    }
    return {resumption_basis::only_version, stream_origin{service, *known.active_versions.begin()}};
}

} // namespace rattanbay::relay
