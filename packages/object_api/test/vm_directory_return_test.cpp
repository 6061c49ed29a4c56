#include <rattanbay/object_api/vm_directory.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace object_api = rattanbay::object_api;
using object_api::vm_state;

namespace {

base::time_point at_ms(std::int64_t ms) {
    return base::time_point(std::chrono::hours(1)) + base::from_milliseconds(ms);
}

object_api::vm started(const std::string& id, std::uint64_t started_ms, vm_state state = vm_state::live) {
    object_api::vm out;
    out.id = base::vm_id(id);
    out.service = base::service_name("desk");
    out.state = state;
    out.started_ms = started_ms;
    return out;
}

std::string names(const object_api::vm_directory& directory) {
    std::string out;
    for (const object_api::vm& row : directory.list().vms) {
        out += row.id.text() + (row.state == vm_state::leaving ? "- " : " ");
    }
    return out;
}

/// A list of the first era with the VMs a, b and c.
struct listed {
    listed()
        : directory(std::chrono::milliseconds(2500)) {
        read({1, 10}, {started("a", 100), started("b", 100), started("c", 100)}, 0);
    }

    void read(const object_api::store_revision& version, std::vector<object_api::vm> vms, std::int64_t ms) {
        directory.restart_listing();
        directory.apply(object_api::vm_page{version, std::move(vms), std::nullopt, 0, "", {}}, at_ms(ms));
    }

    void change(const object_api::store_revision& version, const object_api::vm& changed, std::int64_t ms) {
        directory.apply(object_api::vm_changes{version, {changed}, {}, 0, {}}, at_ms(ms));
    }

    void remove(const object_api::store_revision& version, const std::string& id, std::int64_t ms) {
        directory.apply(object_api::vm_changes{version, {}, {base::vm_id(id)}, 0, {}}, at_ms(ms));
    }

    object_api::vm_directory directory;
};

} // namespace

BOOST_AUTO_TEST_SUITE(vm_directory_return)

// Guards against requests to an endpoint that announced its end after the copy was made.
BOOST_FIXTURE_TEST_CASE(a_leaving_entry_stays_leaving, listed) {
    change({1, 20}, started("a", 100, vm_state::leaving), 1000);
    directory.begin_era(2, at_ms(2000));
    read({2, 15}, {started("a", 100), started("b", 100), started("c", 100)}, 2100);
    BOOST_TEST(names(directory) == "a- b c ");
    change({2, 16}, started("a", 200), 3000);
    BOOST_TEST(names(directory) == "a b c ");
}

// Guards against requests to an endpoint that left after the copy was made, also after several returns.
BOOST_FIXTURE_TEST_CASE(a_removed_entry_is_not_live_again_while_nothing_renews_it, listed) {
    remove({1, 20}, "a", 1000);
    directory.begin_era(2, at_ms(2000));
    read({2, 15}, {started("a", 100), started("b", 100), started("c", 100)}, 2100);
    BOOST_TEST(names(directory) == "a- b c ");
    directory.begin_era(3, at_ms(4000));
    read({3, 12}, {started("a", 100), started("b", 100), started("c", 100)}, 4100);
    BOOST_TEST(names(directory) == "a- b c ");
    remove({3, 13}, "a", 5000);
    directory.remove_expired(at_ms(7000));
    BOOST_TEST(names(directory) == "b c ");
}

// Guards against an endpoint that gets no requests because its entry had expired before the return.
BOOST_FIXTURE_TEST_CASE(a_removed_entry_that_is_kept_or_written_again_is_live, listed) {
    remove({1, 20}, "a", 1000);
    remove({1, 21}, "b", 1000);
    directory.begin_era(2, at_ms(2000));
    read({2, 15}, {started("a", 100), started("b", 100), started("c", 100)}, 2100);
    BOOST_TEST(names(directory) == "a- b- c ");
    change({2, 16}, started("b", 100), 2500);
    BOOST_TEST(names(directory) == "a- b c ");
    BOOST_TEST(directory.remove_expired(at_ms(6600)));
    BOOST_TEST(names(directory) == "a b c ");
}

// Guards against losing an endpoint that registered after the copy was made and registers again.
BOOST_FIXTURE_TEST_CASE(an_entry_that_the_copy_lacks_has_time_to_return, listed) {
    directory.begin_era(2, at_ms(2000));
    read({2, 5}, {started("c", 100)}, 2100);
    BOOST_TEST(names(directory) == "a b c ");
    change({2, 6}, started("a", 100), 3000);
    BOOST_TEST(names(directory) == "a c ");
    BOOST_TEST(directory.remove_expired(at_ms(4500)));
    change({2, 7}, started("b", 100), 4600);
    BOOST_TEST(names(directory) == "a b c ");
}

BOOST_AUTO_TEST_SUITE_END()
