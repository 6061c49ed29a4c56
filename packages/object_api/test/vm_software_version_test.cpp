#include <rattanbay/object_api/vm_directory.hpp>

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;

namespace {

constexpr base::time_point start(std::chrono::hours(1));

object_api::vm make_versioned_vm(const std::string& version) {
    object_api::vm out;
    out.id = base::vm_id("a");
    out.service = base::service_name("desk");
    out.started_ms = 1000;
    out.software_version = version;
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(vm_software_version)

// Guards against a changed version of an entry that is not published, as the lists are taken for equal, and
// against one that other daemons are not told.
BOOST_AUTO_TEST_CASE(a_changed_version_changes_the_list) {
    object_api::vm_directory directory(std::chrono::milliseconds(2500));
    directory.apply(object_api::vm_page{{1, 10}, {make_versioned_vm("1.4")}, std::nullopt, 0, ""}, start);
    const object_api::vm_list before = directory.list();
    BOOST_REQUIRE(before.vms.size() == 1U);
    BOOST_TEST(before.vms[0].software_version == "1.4");

    const object_api::vm_changes changes{{1, 11}, {make_versioned_vm("2.0")}, {}, 0, {1, 11}};
    directory.apply(changes, start);
    const object_api::vm_list after = directory.list();
    BOOST_REQUIRE(after.vms.size() == 1U);
    BOOST_TEST(after.vms[0].software_version == "2.0");
    BOOST_CHECK(after.vms != before.vms);

    // A list that is read again tells the version too.
    directory.restart_listing();
    directory.apply(object_api::vm_page{{1, 12}, {make_versioned_vm("3")}, std::nullopt, 0, ""}, start);
    BOOST_TEST(directory.list().vms.at(0).software_version == "3");
}

BOOST_AUTO_TEST_SUITE_END()
