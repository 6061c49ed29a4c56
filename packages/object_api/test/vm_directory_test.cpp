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
        directory.apply(object_api::vm_page{{1, 10}, {named("a"), named("b")}, "b", 0, ""}, at_ms(0));
        directory.apply(object_api::vm_page{{1, 11}, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    }

    object_api::vm_directory directory;
};

} // namespace

BOOST_AUTO_TEST_SUITE(vm_directory)

// Guards against missing changes that are made between reading two pages of the list.
BOOST_FIXTURE_TEST_CASE(the_watch_starts_at_the_version_of_the_first_page, listed) {
    BOOST_TEST(!directory.next_page_after().has_value());
    BOOST_TEST(directory.version().text() == "1:10");
    BOOST_TEST(names(directory) == "a b c ");
}

// Guards against losing changes and against applying changes older than the current list.
BOOST_FIXTURE_TEST_CASE(changes_apply_in_order, listed) {
    directory.apply(
        object_api::vm_changes{{1, 12}, {named("b", object_api::vm_state::leaving)}, {base::vm_id("a")}, 0},
        at_ms(0));
    BOOST_TEST(names(directory) == "b- c ");
    directory.apply(object_api::vm_changes{{1, 11}, {named("b")}, {}, 0}, at_ms(0));
    BOOST_TEST(names(directory) == "b- c ");
    directory.advance_to({1, 20});
    BOOST_TEST(directory.version().text() == "1:20");
}

// Guards against entries that remain after their VM was removed while the history was lost, and against a
// page that is applied twice because two readers requested it.
BOOST_FIXTURE_TEST_CASE(a_new_list_replaces_the_old_one, listed) {
    directory.restart_listing();
    BOOST_TEST(directory.next_page_after().value().empty());
    const object_api::vm_page first{{1, 30}, {named("a")}, "a", 0, ""};
    directory.apply(first, at_ms(0));
    directory.apply(first, at_ms(0));
    directory.apply(object_api::vm_page{{1, 30}, {named("d")}, std::nullopt, 0, "a"}, at_ms(0));
    BOOST_TEST(names(directory) == "a d ");
    BOOST_TEST(directory.version().text() == "1:30");
}

// Guards against endpoints without work because their entries expired during an outage of the platform, and
// against such entries that are never removed.
BOOST_FIXTURE_TEST_CASE(entries_expired_during_an_outage_are_kept_for_the_grace_period, listed) {
    directory.platform_recovered(at_ms(1000));
    directory.apply(object_api::vm_changes{{1, 40}, {}, {base::vm_id("a"), base::vm_id("b")}, 0},
                    at_ms(1100));
    BOOST_TEST(names(directory) == "a b c ");
    directory.apply(object_api::vm_changes{{1, 41}, {named("a")}, {}, 0}, at_ms(2000));
    BOOST_TEST(!directory.remove_expired(at_ms(3400)));
    BOOST_TEST(directory.remove_expired(at_ms(3500)));
    BOOST_TEST(names(directory) == "a c ");
}

// An endpoint that leaves without an announcement while the platform recovers must not be used for the grace
// period.
BOOST_FIXTURE_TEST_CASE(a_single_entry_that_is_removed_after_an_outage_is_not_listed, listed) {
    directory.platform_recovered(at_ms(1000));
    directory.apply(object_api::vm_changes{{1, 40}, {}, {base::vm_id("a")}, 0}, at_ms(1100));
    BOOST_TEST(names(directory) == "b c ");
    directory.apply(object_api::vm_changes{{1, 41}, {}, {base::vm_id("b")}, 0}, at_ms(1200));
    BOOST_TEST(names(directory) == "a b c ");
    directory.apply(object_api::vm_changes{{1, 42}, {named("b")}, {}, 0}, at_ms(1300));
    BOOST_TEST(names(directory) == "b c ");
}

// The entries of a small service must not be counted together with those of a large one.
BOOST_FIXTURE_TEST_CASE(missing_entries_are_counted_for_each_service, listed) {
    object_api::vm other = named("z");
    other.service = base::service_name("board");
    directory.apply(object_api::vm_changes{{1, 20}, {other}, {}, 0}, at_ms(0));
    directory.platform_recovered(at_ms(1000));
    directory.apply(object_api::vm_changes{{1, 40}, {}, {base::vm_id("a"), base::vm_id("z")}, 0},
                    at_ms(1100));
    BOOST_TEST(names(directory) == "b c z ");
}

// Guards against routing work to an endpoint that left during an outage.
BOOST_FIXTURE_TEST_CASE(a_leaving_entry_is_not_kept, listed) {
    directory.apply(object_api::vm_changes{{1, 12}, {named("a", object_api::vm_state::leaving)}, {}, 0},
                    at_ms(0));
    directory.platform_recovered(at_ms(1000));
    directory.apply(object_api::vm_changes{{1, 40}, {}, {base::vm_id("a")}, 0}, at_ms(1100));
    BOOST_TEST(names(directory) == "b c ");
}

// A VM that is leaving must not become live again because an older list arrives after the change.
BOOST_FIXTURE_TEST_CASE(a_leaving_entry_is_not_replaced_by_an_older_list, listed) {
    directory.restart_listing();
    directory.apply(object_api::vm_changes{{1, 14}, {named("a", object_api::vm_state::leaving)}, {}, 0},
                    at_ms(0));
    directory.apply(object_api::vm_page{{1, 13}, {named("a"), named("b")}, "b", 0, ""}, at_ms(0));
    directory.apply(object_api::vm_page{{1, 13}, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    BOOST_TEST(names(directory) == "a- b c ");
}

// A VM that is leaving must not become live again because older changes arrive after a page of the list.
BOOST_FIXTURE_TEST_CASE(a_leaving_entry_is_not_replaced_by_older_changes, listed) {
    directory.restart_listing();
    directory.apply(
        object_api::vm_page{{1, 14}, {named("a", object_api::vm_state::leaving), named("b")}, "b", 0, ""},
        at_ms(0));
    directory.apply(object_api::vm_changes{{1, 13}, {named("a")}, {}, 0}, at_ms(0));
    directory.apply(object_api::vm_page{{1, 14}, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    BOOST_TEST(names(directory) == "a- b c ");
}

// A removed VM must not be listed again because an older page arrives after its removal.
BOOST_FIXTURE_TEST_CASE(a_removed_entry_is_not_restored_by_an_older_page, listed) {
    directory.restart_listing();
    directory.apply(object_api::vm_page{{1, 13}, {named("a"), named("b")}, "b", 0, ""}, at_ms(0));
    directory.apply(object_api::vm_changes{{1, 15}, {}, {base::vm_id("c")}, 0}, at_ms(0));
    directory.apply(object_api::vm_page{{1, 14}, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    BOOST_TEST(names(directory) == "a b ");
}

// A page that was requested for an earlier listing must not complete a newer one.
BOOST_FIXTURE_TEST_CASE(a_page_of_an_earlier_listing_is_ignored, listed) {
    directory.restart_listing();
    directory.apply(object_api::vm_page{{1, 20}, {named("a"), named("b")}, "b", 0, ""}, at_ms(0));
    directory.apply(object_api::vm_page{{1, 15}, {}, std::nullopt, 0, "b"}, at_ms(0));
    BOOST_TEST(directory.next_page_after().has_value());
    directory.apply(object_api::vm_page{{1, 21}, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    BOOST_TEST(names(directory) == "a b c ");
}

// Guards against a list assembled from pages of two eras, whose watch would go on from the count of the
// first.
BOOST_FIXTURE_TEST_CASE(a_page_of_a_newer_era_starts_the_listing_again, listed) {
    directory.restart_listing();
    directory.apply(object_api::vm_page{{1, 20}, {named("a"), named("b")}, "b", 0, ""}, at_ms(0));
    directory.apply(object_api::vm_page{{2, 5}, {named("c")}, std::nullopt, 0, "b"}, at_ms(0));
    BOOST_TEST(directory.next_page_after().value_or("complete") == "");
    directory.apply(object_api::vm_page{{2, 5}, {named("d")}, std::nullopt, 0, ""}, at_ms(0));
    BOOST_TEST(names(directory) == "d ");
    BOOST_TEST(directory.version().text() == "2:5");
}

// Guards against a late answer of an earlier era that takes the place of the listing of the new one.
BOOST_FIXTURE_TEST_CASE(a_page_of_an_earlier_era_does_not_start_a_listing, listed) {
    directory.apply(object_api::vm_page{{2, 5}, {named("a")}, "a", 0, ""}, at_ms(0));
    BOOST_TEST(directory.next_page_after().value_or("complete") == "a");
    directory.restart_listing();
    directory.apply(object_api::vm_page{{1, 30}, {named("z")}, std::nullopt, 0, ""}, at_ms(0));
    BOOST_TEST(directory.next_page_after().value_or("complete") == "");
    BOOST_TEST(directory.version().text() == "1:10");
}

BOOST_AUTO_TEST_SUITE_END()
