#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace relay = rattanbay::relay;

namespace {

const base::service_name service("chat");

using versions = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(service_versions)

// Guards against a version that is forgotten while a stream that it began is alive, and against one that
// keeps a service mixed for ever.
BOOST_AUTO_TEST_CASE(a_version_stays_active_after_it_was_listed) {
    relay::service_versions known;
    BOOST_TEST(known.observe(service, {"1"}, at_ms(0)));
    BOOST_TEST(!known.is_mixed(service, at_ms(0)));
    BOOST_TEST(known.observe(service, {"1", "2"}, at_ms(1000)));
    BOOST_TEST(known.is_mixed(service, at_ms(1000)));
    BOOST_TEST(!known.observe(service, {"2"}, at_ms(5000)));
    BOOST_TEST(known.is_mixed(service, at_ms(64'999)));
    BOOST_TEST(!known.is_mixed(service, at_ms(65'000)));
    BOOST_CHECK(known.active(service, at_ms(65'000)) == versions{"2"});
    BOOST_TEST(known.observe(service, {"2"}, at_ms(65'000)));
    BOOST_TEST(!known.observe(service, {"2"}, at_ms(66'000)));
}

// Guards against a listed version that ends as the VM list does not change for longer than the retention
// time.
BOOST_AUTO_TEST_CASE(a_listed_version_stays_without_further_lists) {
    relay::service_versions known;
    known.observe(service, {"1", "2"}, at_ms(0));
    BOOST_TEST(known.is_mixed(service, at_ms(600'000)));
    known.observe(service, {}, at_ms(600'000));
    BOOST_TEST(known.is_mixed(service, at_ms(659'999)));
    BOOST_TEST(known.active(service, at_ms(660'000)).empty());
    BOOST_TEST(known.observe(service, {}, at_ms(660'000)));
    BOOST_TEST(!known.observe(service, {}, at_ms(660'001)));
}

// Guards against daemons that restart at once and take the listed version for the only one.
BOOST_AUTO_TEST_CASE(restored_versions_are_active_for_the_retention_time) {
    relay::service_versions known(std::chrono::seconds(2));
    known.restore(service, "1", at_ms(0));
    known.observe(service, {"2"}, at_ms(500));
    BOOST_TEST(known.is_mixed(service, at_ms(1999)));
    BOOST_TEST(!known.is_mixed(service, at_ms(2000)));
    known.observe(service, {"2"}, at_ms(2000));
    known.restore(service, "2", at_ms(2000));
    BOOST_CHECK(known.active(service, at_ms(9000)) == versions{"2"});
}

// Guards against daemons that keep a version active for ever by telling each other of it.
BOOST_AUTO_TEST_CASE(the_time_left_at_another_daemon_is_not_extended) {
    relay::service_versions first;
    relay::service_versions second;
    first.restore(service, "1", at_ms(0));
    for (int ms = 10'000; ms < 60'000; ms += 10'000) {
        for (const relay::version_record& row : first.records(service, at_ms(ms))) {
            second.restore(row.service, row.software_version, at_ms(ms), row.time_left);
        }
        for (const relay::version_record& row : second.records(at_ms(ms))) {
            first.restore(row.service, row.software_version, at_ms(ms), row.time_left);
        }
    }
    BOOST_TEST(first.active(service, at_ms(59'999)).size() == 1U);
    BOOST_TEST(first.active(service, at_ms(60'000)).empty());
    BOOST_TEST(second.active(service, at_ms(60'000)).empty());
}

// Guards against another daemon's time that is longer than the retention time, and against one that has
// passed.
BOOST_AUTO_TEST_CASE(told_times_are_bounded) {
    relay::service_versions known;
    known.restore(service, "1", at_ms(0), std::chrono::hours(5));
    known.restore(service, "2", at_ms(0), -std::chrono::seconds(1));
    BOOST_CHECK(known.active(service, at_ms(59'999)) == versions{"1"});
    BOOST_TEST(known.active(service, at_ms(60'000)).empty());
}

// Guards against memory that grows with the number of versions, and against a service that counts as unmixed
// while a stream of a dropped version may be alive.
BOOST_AUTO_TEST_CASE(dropped_versions_keep_the_service_mixed) {
    relay::service_versions known;
    for (std::size_t n = 0; n <= relay::service_versions::max_versions; ++n) {
        known.restore(service, "v" + std::to_string(n), at_ms(static_cast<int>(n)), std::chrono::seconds(10));
    }
    const versions kept = known.active(service, at_ms(100));
    BOOST_TEST(kept.size() == relay::service_versions::max_versions);
    BOOST_TEST(!kept.contains("v0"));
    BOOST_TEST(known.is_mixed(service, at_ms(100)));

    relay::service_versions listed;
    versions all;
    for (std::size_t n = 0; n <= relay::service_versions::max_versions; ++n) {
        all.insert("v" + std::to_string(n));
    }
    listed.observe(service, all, at_ms(0));
    listed.observe(service, {*all.begin()}, at_ms(1));
    BOOST_TEST(listed.is_mixed(service, at_ms(59'999)));
    BOOST_TEST(!listed.is_mixed(service, at_ms(60'001)));
}

// Guards against services that are lost or mixed up on their way to a starting daemon.
BOOST_AUTO_TEST_CASE(a_snapshot_has_the_active_versions_of_all_services) {
    relay::service_versions known;
    const base::service_name board("board");
    known.observe(service, {"1", "2"}, at_ms(0));
    known.restore(board, "7", at_ms(0), std::chrono::seconds(1));
    const std::map<base::service_name, versions> expected{{service, {"1", "2"}}, {board, {"7"}}};
    BOOST_CHECK(known.snapshot(at_ms(0)) == expected);
    BOOST_TEST(known.records(at_ms(0)).size() == 3U);
    BOOST_TEST(known.snapshot(at_ms(1000)).size() == 1U);
    BOOST_TEST(!known.is_mixed(board, at_ms(0)));
}

BOOST_AUTO_TEST_SUITE_END()
