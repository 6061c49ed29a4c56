#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace rattanbay;
using namespace rattanbay::routing::test;
using pipeline::attempt_result;

namespace {

std::map<std::string, int> count_selections(routing::router& router, base::time_point now,
                                            int call_count = 200) {
    base::random_source random(11);
    std::map<std::string, int> counts;
    for (int n = 0; n < call_count; ++n) {
        ++counts[choose(router, now, random)->endpoint.text()];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(estimates)

// Guards against ignoring the calls of this VM, the reported load or the measured latency of an endpoint.
BOOST_AUTO_TEST_CASE(loaded_and_slow_endpoints_are_avoided) {
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 4).build());
    router.attempt_started(id("a0"));
    router.load_reported(id("a1"), {3, 2, 0ms}, start_time);
    complete_call(router, id("a2"), attempt_result::succeeded, 200ms, start_time);
    std::map<std::string, int> counts = count_selections(router, start_time);
    BOOST_TEST(counts["a3"] >= 140);
    // The old report and the old measurement have decayed, so both endpoints are preferred to those with a
    // call in progress.
    router.attempt_started(id("a3"));
    counts = count_selections(router, start_time + 60s);
    BOOST_TEST(counts["a1"] > 40);
    BOOST_TEST(counts["a2"] > 40);
    BOOST_TEST(counts["a1"] + counts["a2"] == 200);
}

// Guards against counting the calls of this VM twice, as outstanding and as part of the reported load.
BOOST_AUTO_TEST_CASE(own_calls_in_a_load_report_count_once) {
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    router.attempt_started(id("a0"));
    router.attempt_started(id("a1"));
    router.load_reported(id("a0"), {1, 0, 0ms}, start_time);
    std::map<std::string, int> counts = count_selections(router, start_time);
    BOOST_TEST(counts["a0"] > 50);
    BOOST_TEST(counts["a1"] > 50);
}

// Guards against failed and cancelled calls that change the estimated latency.
BOOST_AUTO_TEST_CASE(only_successful_calls_are_measured) {
    base::random_source random(12);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 1).build());
    for (const attempt_result result : {attempt_result::cancelled, attempt_result::went_silent}) {
        complete_call(router, id("a0"), result, 5s, start_time);
    }
    BOOST_TEST(router.latency_percentiles(writer).p50.count() == base::duration(20ms).count());
    complete_call(router, id("a0"), attempt_result::cancelled, 1us, start_time);
    const routing::route route = choose(router, start_time, random).value();
    BOOST_TEST(route.estimated_latency.count() >= base::duration(20ms).count());
    BOOST_TEST(route.estimated_latency.count() < base::duration(40ms).count());
}

// Guards against unnecessary calls to other failure domains, and against calls that stay in the local one
// when it is overloaded or has no endpoints.
BOOST_AUTO_TEST_CASE(extra_latency_and_cost_keep_calls_local) {
    table_builder builder = table_builder().add("a", 1).add("b", 3);
    routing::router router{base::failure_domain("a")};
    router.publish(builder.build());
    BOOST_TEST(count_selections(router, start_time)["a0"] == 200);
    // Two calls in four slots add 10 ms to the estimate of the local call; the extra latency of a remote one
    // is 4 ms.
    router.attempt_started(id("a0"));
    router.attempt_started(id("a0"));
    BOOST_TEST(count_selections(router, start_time)["a0"] == 0);
    builder.document.cost_weight = 1;
    router.publish(builder.build());
    BOOST_TEST(count_selections(router, start_time)["a0"] == 200);
    routing::router remote_router{base::failure_domain("c")};
    remote_router.publish(builder.build());
    base::random_source random(13);
    BOOST_TEST(choose(remote_router, start_time, random)->crosses_domain);
}

// Guards against an extra latency that is never measured, or is derived from single calls.
BOOST_AUTO_TEST_CASE(extra_latency_is_measured_from_minimum_latencies) {
    base::random_source random(14);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 1).add("b", 1).build());
    for (int n = 0; n < 200; ++n) {
        complete_call(router, id("a0"), attempt_result::succeeded, 20ms + n % 8 * 1ms, start_time);
        complete_call(router, id("b0"), attempt_result::succeeded, 50ms + n % 8 * 1ms, start_time);
    }
    router.attempt_ended(id("a0"), attempt_result::refused_connection, 0ms, start_time);
    const base::duration estimate = choose(router, start_time, random)->estimated_latency;
    BOOST_TEST(estimate.count() >= base::duration(50ms).count());
    BOOST_TEST(estimate.count() <= base::duration(58ms).count());
}

// Guards against a new table that discards measurements, or keeps those of a replaced endpoint.
BOOST_AUTO_TEST_CASE(measurements_survive_a_new_table) {
    table_builder builder = table_builder().add("a", 2);
    routing::router router{base::failure_domain("a")};
    router.publish(builder.build());
    complete_call(router, id("a0"), attempt_result::succeeded, 500ms, start_time);
    router.publish(builder.add("a", 0).build());
    BOOST_TEST(count_selections(router, start_time)["a1"] == 200);
    builder.vms.vms[0].address.port = 9;
    router.publish(builder.build());
    BOOST_TEST(count_selections(router, start_time)["a0"] > 50);
}

// Guards against a wrong count of outstanding calls after an endpoint is removed from the list and listed
// again.
BOOST_AUTO_TEST_CASE(outstanding_calls_survive_removal_and_relisting) {
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 2).build());
    router.attempt_started(id("a1"));
    router.publish(table_builder().add("a", 1).build());
    router.publish(table_builder().add("a", 2).build());
    BOOST_TEST(count_selections(router, start_time)["a0"] == 200);
    router.attempt_ended(id("a1"), attempt_result::cancelled, 0ms, start_time);
    BOOST_TEST(count_selections(router, start_time)["a0"] < 200);
}

// Guards against percentiles that are computed from too few calls, from old calls or in the wrong order.
BOOST_AUTO_TEST_CASE(percentiles_cover_recent_calls) {
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 1).build());
    BOOST_TEST(router.latency_percentiles(writer).p95.count() == base::duration(60ms).count());
    for (int n = 1; n <= 400; ++n) {
        complete_call(router, id("a0"), attempt_result::succeeded,
                      base::from_milliseconds(n > 144 ? n - 144 : 1000), start_time);
    }
    const pipeline::service_times percentiles = router.latency_percentiles(writer);
    BOOST_TEST(percentiles.p50.count() == base::duration(129ms).count());
    BOOST_TEST(percentiles.p90.count() == base::duration(231ms).count());
    BOOST_TEST(percentiles.p95.count() == base::duration(244ms).count());
}

// Guards against calls of one prefix that change between replicas without need, or stay on an overloaded one.
BOOST_AUTO_TEST_CASE(affinity_holds_until_the_replica_is_overloaded) {
    base::random_source random(15);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 8).build());
    const routing::route_request request{writer, {}, {}, 1s, 77};
    const base::endpoint_id preferred = router.choose(request, start_time, random)->endpoint;
    for (int n = 0; n < 50; ++n) {
        BOOST_TEST(router.choose(request, start_time, random)->endpoint == preferred);
    }
    for (int n = 0; n < 4; ++n) {
        router.attempt_started(preferred);
    }
    BOOST_TEST(router.choose(request, start_time, random)->endpoint != preferred);
}

// Guards against a retry that finds no endpoint when the service has only one, and against a hedge to the
// endpoint of the first attempt.
BOOST_AUTO_TEST_CASE(excluded_endpoints_are_a_fallback_for_retries) {
    base::random_source random(16);
    routing::router router{base::failure_domain("a")};
    router.publish(table_builder().add("a", 1).build());
    routing::route_request request{writer, {id("a0")}, pipeline::attempt_purpose::retry, 1s};
    BOOST_TEST(router.choose(request, start_time, random).has_value());
    request.purpose = pipeline::attempt_purpose::hedge;
    BOOST_TEST(!router.choose(request, start_time, random).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
