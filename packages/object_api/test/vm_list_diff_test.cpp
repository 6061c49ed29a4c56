#include <rattanbay/object_api/vm_list_diff.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;

namespace {

object_api::vm named(const std::string& id, object_api::vm_state state = object_api::vm_state::live) {
    object_api::vm out;
    out.id = base::vm_id(id);
    out.state = state;
    return out;
}

std::string names(const std::vector<base::vm_id>& ids) {
    std::string out;
    for (const base::vm_id& id : ids) {
        out += id.text() + " ";
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(vm_list_diff)

BOOST_AUTO_TEST_CASE(changes_of_state_and_missing_entries_are_found) {
    using object_api::vm_state;
    const object_api::vm_list before{
        {1, 3}, {named("a"), named("b"), named("c", vm_state::leaving), named("d", vm_state::leaving)}};
    const object_api::vm_list after{
        {1, 4}, {named("a", vm_state::leaving), named("c"), named("d", vm_state::leaving), named("e")}};
    const object_api::vm_list_diff diff = object_api::vm_list_diff::between(before, after);
    BOOST_TEST(names(diff.live) == "c e ");
    BOOST_TEST(names(diff.leaving) == "a ");
    BOOST_TEST(names(diff.removed) == "b ");
}

BOOST_AUTO_TEST_SUITE_END()
