#include "fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace rattanbay;
using namespace rattanbay::routing::test;
using pipeline::attempt_result;

BOOST_AUTO_TEST_SUITE(ejection)

// Guards against a back-off that has a wrong initial value, does not double, or is not followed by exactly
// one probe.
BOOST_AUTO_TEST_CASE(backoff_doubles_and_ends_with_one_probe) {
    base::random_source random(1);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    base::time_point now = start_time;
    fail_three_times(router, id("a0"), now);
    for (const base::duration backoff : {250ms, 500ms, 1000ms, 2000ms, 4000ms, 8000ms, 8000ms}) {
        BOOST_TEST(router.ejected_count(writer) == 1U);
        for (int n = 0; n < 20; ++n) {
            BOOST_TEST(choose(router, now + backoff - 1us, random)->endpoint == id("a1"));
        }
        now += backoff;
        std::size_t probes = 0;
        for (int n = 0; n < 20; ++n) {
            probes += choose(router, now, random)->endpoint == id("a0") ? 1 : 0;
        }
        BOOST_TEST(probes == 1U);
        complete_call(router, id("a0"), attempt_result::failed, 1ms, now);
    }
}

// Guards against an endpoint that stays ejected after a successful probe.
BOOST_AUTO_TEST_CASE(successful_probe_reinstates_the_endpoint) {
    base::random_source random(2);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    fail_three_times(router, id("a0"), start_time);
    std::set<base::endpoint_id> selected;
    while (!selected.contains(id("a0"))) {
        selected.insert(choose(router, start_time + 250ms, random)->endpoint);
    }
    complete_call(router, id("a0"), attempt_result::succeeded, 20ms, start_time + 270ms);
    BOOST_TEST(router.ejected_count(writer) == 0U);
}

// Guards against a cancelled probe that keeps the endpoint ejected until the probe timeout.
BOOST_AUTO_TEST_CASE(cancelled_probe_is_repeated) {
    base::random_source random(3);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    fail_three_times(router, id("a0"), start_time);
    for (int round = 0; round < 2; ++round) {
        std::size_t probes = 0;
        for (int n = 0; n < 20; ++n) {
            probes += choose(router, start_time + 300ms, random)->endpoint == id("a0") ? 1 : 0;
        }
        BOOST_TEST(probes == 1U);
        complete_call(router, id("a0"), attempt_result::cancelled, 5ms, start_time + 300ms);
    }
}

// Guards against probes with calls that may not be retried after a failure.
BOOST_AUTO_TEST_CASE(non_retryable_calls_are_not_used_as_probes) {
    base::random_source random(4);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    fail_three_times(router, id("a0"), start_time);
    for (int n = 0; n < 50; ++n) {
        const routing::route_request request{writer, {}, {}, 1s, {}, false};
        BOOST_TEST(router.choose(request, start_time + 1s, random)->endpoint == id("a1"));
    }
}

// Guards against the ejection of a whole service because of failures that all endpoints share, such as those
// caused by invalid input.
BOOST_AUTO_TEST_CASE(at_most_half_are_ejected_for_failures) {
    base::random_source random(5);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 5).build());
    for (int n = 0; n < 5; ++n) {
        fail_three_times(router, id("a" + std::to_string(n)), start_time);
        fail_three_times(router, id("a" + std::to_string(n)), start_time);
    }
    BOOST_TEST(router.ejected_count(writer) == 2U);
    // If removed endpoints still counted, fewer ejections would be allowed after each new table.
    router.publish(table_builder().add("b", 5).build());
    BOOST_TEST(router.ejected_count(writer) == 0U);
}

// Guards against calls to processes that do not exist. Ejections for refused connections are not limited; if
// all endpoints are ejected, the one whose ejection ends first is selected.
BOOST_AUTO_TEST_CASE(refused_connection_ejects_at_once) {
    base::random_source random(6);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 3).build());
    complete_call(router, id("a1"), attempt_result::refused_connection, 0ms, start_time);
    complete_call(router, id("a0"), attempt_result::refused_connection, 0ms, start_time + 1ms);
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose(router, start_time + 2ms, random)->endpoint == id("a2"));
    }
    complete_call(router, id("a2"), attempt_result::refused_connection, 0ms, start_time + 2ms);
    BOOST_TEST(choose(router, start_time + 3ms, random)->endpoint == id("a1"));
}

// Guards against exceeding the limit on ejections when the probe of an endpoint that refused connections
// fails.
BOOST_AUTO_TEST_CASE(failed_probe_after_a_refused_connection_respects_the_limit) {
    base::random_source random(8);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    complete_call(router, id("a1"), attempt_result::refused_connection, 0ms, start_time);
    fail_three_times(router, id("a0"), start_time + 200ms);
    BOOST_TEST(router.ejected_count(writer) == 1U);
    BOOST_TEST(choose(router, start_time + 250ms, random)->endpoint == id("a1"));
    complete_call(router, id("a1"), attempt_result::failed, 1ms, start_time + 250ms);
    BOOST_TEST(router.ejected_count(writer) == 1U);
    BOOST_TEST(choose(router, start_time + 251ms, random)->endpoint == id("a1"));
}

// Guards against calls to a leaving endpoint, whether the VM list or the endpoint itself announces it.
BOOST_AUTO_TEST_CASE(leaving_endpoints_are_not_selected) {
    base::random_source random(7);
    routing::router router{base::failure_domain("a")};
    table_builder builder = table_builder().add("a", 2);
    router.publish(builder.build());
    router.endpoint_leaving(id("a0"));
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose(router, start_time + std::chrono::hours(n), random)->endpoint == id("a1"));
    }
    builder.vms.vms[1].state = object_api::vm_state::leaving;
    router.publish(builder.build());
    BOOST_TEST(!choose(router, start_time, random).has_value());
    // Listed as live again, a1 counts as a new process; a0 is leaving until it announces that it is live.
    builder.vms.vms[1].state = object_api::vm_state::live;
    router.publish(builder.build());
    BOOST_TEST(choose(router, start_time, random)->endpoint == id("a1"));
    router.endpoint_live(id("a0"));
    router.endpoint_leaving(id("a1"));
    BOOST_TEST(choose(router, start_time, random)->endpoint == id("a0"));
}

// Guards against sequences of events after which a leaving or ejected endpoint is selected although another
// one is available.
BOOST_AUTO_TEST_CASE(property_unusable_endpoints_are_avoided) {
    const bool passed =
        rc::check([](std::uint64_t seed, std::vector<std::pair<std::uint8_t, std::uint8_t>> events) {
            base::random_source random(seed);
            routing::router router{base::failure_domain("a")};
            const std::size_t per_domain = 1 + random.below(24);
            router.publish(table_builder().add("a", per_domain).add("b", per_domain).build());
            std::set<base::endpoint_id> leaving;
            std::set<base::endpoint_id> refusing;
            for (const auto& [kind, number] : events) {
                const std::string domain = number % 2 == 0 ? "a" : "b";
                const base::endpoint_id endpoint = id(domain + std::to_string((number / 2U) % per_domain));
                if (kind % 2 == 0) {
                    router.endpoint_leaving(endpoint);
                    leaving.insert(endpoint);
                } else {
                    complete_call(router, endpoint, attempt_result::refused_connection, 0ms, start_time);
                    refusing.insert(endpoint);
                }
                std::set<base::endpoint_id> unusable = refusing;
                unusable.insert(leaving.begin(), leaving.end());
                const std::optional<routing::route> route = choose(router, start_time, random);
                RC_ASSERT(route.has_value() == (leaving.size() < 2 * per_domain));
                RC_ASSERT(!route || !leaving.contains(route->endpoint));
                RC_ASSERT(!route || unusable.size() == 2 * per_domain || !unusable.contains(route->endpoint));
            }
        });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()
