#include <rattanbay/object_api/vm_directory.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;

namespace {

base::time_point at_ms(std::int64_t ms) {
    return base::time_point(std::chrono::hours(1)) + base::from_milliseconds(ms);
}

object_api::vm named(const std::string& id, object_api::vm_state state = object_api::vm_state::live) {
    object_api::vm out;
    out.id = base::vm_id(id);
    out.service = base::service_name("desk");
    out.state = state;
    return out;
}

std::string names(const object_api::vm_directory& directory) {
    std::string out;
    for (const object_api::vm& row : directory.list().vms) {
        out += row.id.text() + (row.state == object_api::vm_state::leaving ? "- " : " ");
    }
    return out;
}

struct listed {
    listed()
        : directory(std::chrono::milliseconds(2500)) {
        directory.take(object_api::vm_page{10, {named("a"), named("b")}, "b", 0, ""}, at_ms(0));
        directory.take(object_api::vm_page{11, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    }

    object_api::vm_directory directory;
};

} // namespace

BOOST_AUTO_TEST_SUITE(vm_directory)

// Guards against changes that are missed because they came between two parts of the list.
BOOST_FIXTURE_TEST_CASE(the_watch_begins_at_the_version_of_the_first_part, listed) {
    BOOST_TEST(!directory.missing_part().has_value());
    BOOST_TEST(directory.version() == 10U);
    BOOST_TEST(names(directory) == "a b c ");
}

// Guards against changes that are lost, or that come back after a later list.
BOOST_FIXTURE_TEST_CASE(changes_apply_in_order, listed) {
    directory.take(
        object_api::vm_changes{12, {named("b", object_api::vm_state::leaving)}, {base::vm_id("a")}, 0},
        at_ms(0));
    BOOST_TEST(names(directory) == "b- c ");
    directory.take(object_api::vm_changes{11, {named("b")}, {}, 0}, at_ms(0));
    BOOST_TEST(names(directory) == "b- c ");
    directory.advance(20);
    BOOST_TEST(directory.version() == 20U);
}

// Guards against an entry that stays after its VM was removed while the history was lost, and
// against a part that is taken twice when two readers ask for it.
BOOST_FIXTURE_TEST_CASE(a_new_list_replaces_the_old_one, listed) {
    directory.lose_history();
    BOOST_TEST(directory.missing_part().value().empty());
    const object_api::vm_page first{30, {named("a")}, "a", 0, ""};
    directory.take(first, at_ms(0));
    directory.take(first, at_ms(0));
    directory.take(object_api::vm_page{30, {named("d")}, std::nullopt, 0, "a"}, at_ms(0));
    BOOST_TEST(names(directory) == "a d ");
    BOOST_TEST(directory.version() == 30U);
}

// Guards against endpoints that get no work because their entries lapsed while the platform was
// away, and against entries that are kept for good after that.
BOOST_FIXTURE_TEST_CASE(entries_that_lapsed_during_an_outage_are_kept_for_a_while, listed) {
    directory.platform_returned(at_ms(1000));
    directory.take(object_api::vm_changes{40, {}, {base::vm_id("a"), base::vm_id("b")}, 0}, at_ms(1100));
    BOOST_TEST(names(directory) == "a b c ");
    directory.take(object_api::vm_changes{41, {named("a")}, {}, 0}, at_ms(2000));
    BOOST_TEST(!directory.expire(at_ms(3400)));
    BOOST_TEST(directory.expire(at_ms(3500)));
    BOOST_TEST(names(directory) == "a c ");
}

// Guards against an endpoint that gets work after it has left, because its entry went in an outage.
BOOST_FIXTURE_TEST_CASE(a_leaving_entry_is_not_kept, listed) {
    directory.take(object_api::vm_changes{12, {named("a", object_api::vm_state::leaving)}, {}, 0}, at_ms(0));
    directory.platform_returned(at_ms(1000));
    directory.take(object_api::vm_changes{40, {}, {base::vm_id("a")}, 0}, at_ms(1100));
    BOOST_TEST(names(directory) == "b c ");
}

BOOST_AUTO_TEST_SUITE_END()
