#include "test_cluster.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;

namespace {

/// Number of executions at one desk so far.
std::uint64_t total_executions(const emulator::plain_service& desk) {
    std::uint64_t total = 0;
    const emulator::execution_counts counts = desk.executions();
    for (const std::pair<const std::string, std::uint64_t>& row : counts.by_attempt()) {
        total += row.second;
    }
    return total;
}

/// Sends bookings and returns whether desk 0 executed none of them.
bool first_desk_stays_idle(test_cluster& cluster, const std::string& key_prefix,
                           const std::string& key_suffix) {
    const std::uint64_t before = total_executions(*cluster.desks[0]);
    for (int n = 0; n < 12; ++n) {
        const base::result<http::response> answer =
            cluster.run(0, "book", R"({"input":1})", key_prefix + "." + key_suffix + std::to_string(n));
        if (!answer || answer->status != 200) {
            return false;
        }
    }
    return total_executions(*cluster.desks[0]) == before;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving)

// New requests must not go to an endpoint that the VM list marks as leaving.
BOOST_AUTO_TEST_CASE(an_endpoint_listed_as_leaving_gets_no_new_work) {
    test_cluster cluster(2);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    cluster.set_vms(true);
    int round = 0;
    BOOST_TEST(test_cluster::wait_until([&cluster, &round]() {
        round += 1;
        return first_desk_stays_idle(cluster, cluster.key_prefix(0, 0),
                                     "listed-" + std::to_string(round) + "-");
    }));
    BOOST_TEST(first_desk_stays_idle(cluster, cluster.key_prefix(0, 0), "afterwards-"));
}

// New requests must not go to an endpoint that reports that it is leaving before the VM list does.
BOOST_AUTO_TEST_CASE(an_endpoint_that_reports_leaving_gets_no_new_work) {
    test_cluster cluster(2);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    cluster.desks[0]->set_leaving(true);
    int round = 0;
    BOOST_TEST(test_cluster::wait_until([&cluster, &round]() {
        round += 1;
        return first_desk_stays_idle(cluster, cluster.key_prefix(0, 0),
                                     "told-" + std::to_string(round) + "-");
    }));
    BOOST_TEST(first_desk_stays_idle(cluster, cluster.key_prefix(0, 0), "afterwards-"));
}

// A request must not fail because its endpoint died while others are healthy.
BOOST_AUTO_TEST_CASE(a_dead_endpoint_is_replaced_by_another) {
    test_cluster cluster(2);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    cluster.encoders[0]->kill();
    for (int n = 0; n < 20; ++n) {
        const std::string identity = "dead-" + std::to_string(n);
        const base::result<http::response> answer =
            cluster.run(1, "encode", R"({"input":{"identity":")" + identity + R"("}})");
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 200);
        BOOST_TEST(answer->body.find(identity) != std::string::npos);
    }
}

// Connections that became unresponsive must not be reused: once they are detected, requests go to the same
// endpoints on new connections.
BOOST_AUTO_TEST_CASE(silent_connections_are_replaced) {
    test_cluster cluster(1);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    for (int n = 0; n < 6; ++n) {
        BOOST_TEST(cluster.run(0, "encode", R"({"input":1})")->status == 200);
    }
    for (const std::unique_ptr<emulator::worker_pool>& encoder : cluster.encoders) {
        encoder->set_fault({emulator::endpoint_fault_mode::silent, {}, 1.0});
        encoder->set_fault({emulator::endpoint_fault_mode::none, {}, 0.0});
    }
    for (int n = 0; n < 6; ++n) {
        const base::result<http::response> answer =
            cluster.run(0, "encode", R"({"input":{"identity":"new"}})");
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->status == 200);
    }
}

BOOST_AUTO_TEST_SUITE_END()
