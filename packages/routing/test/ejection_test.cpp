#include "fixture.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace rattanbay;
using namespace rattanbay::routing::test;
using pipeline::attempt_result;

BOOST_AUTO_TEST_SUITE(ejection)

// Guards against a back-off that starts wrong, does not double, or ends without exactly one probe.
BOOST_AUTO_TEST_CASE(backoff_doubles_and_ends_with_one_probe) {
    base::random_source random(1);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 2).table());
    base::time_point now = start;
    fail_thrice(routes, id("a0"), now);
    for (const base::duration backoff : {250ms, 500ms, 1000ms, 2000ms, 4000ms, 8000ms, 8000ms}) {
        BOOST_TEST(routes.ejected(writer) == 1U);
        for (int n = 0; n < 20; ++n) {
            BOOST_TEST(choose(routes, now + backoff - 1us, random)->endpoint == id("a1"));
        }
        now += backoff;
        std::size_t probes = 0;
        for (int n = 0; n < 20; ++n) {
            probes += choose(routes, now, random)->endpoint == id("a0") ? 1 : 0;
        }
        BOOST_TEST(probes == 1U);
        call(routes, id("a0"), attempt_result::failed, 1ms, now);
    }
}

// Guards against a probe whose success does not bring the endpoint back.
BOOST_AUTO_TEST_CASE(good_probe_reinstates) {
    base::random_source random(2);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 2).table());
    fail_thrice(routes, id("a0"), start);
    std::set<base::endpoint_id> chosen;
    while (!chosen.contains(id("a0"))) {
        chosen.insert(choose(routes, start + 250ms, random)->endpoint);
    }
    call(routes, id("a0"), attempt_result::succeeded, 20ms, start + 270ms);
    BOOST_TEST(routes.ejected(writer) == 0U);
}

// Guards against a cancelled probe that keeps the endpoint out until the probe's hold ends.
BOOST_AUTO_TEST_CASE(cancelled_probe_is_sent_again) {
    base::random_source random(3);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 2).table());
    fail_thrice(routes, id("a0"), start);
    for (int round = 0; round < 2; ++round) {
        std::size_t probes = 0;
        for (int n = 0; n < 20; ++n) {
            probes += choose(routes, start + 300ms, random)->endpoint == id("a0") ? 1 : 0;
        }
        BOOST_TEST(probes == 1U);
        call(routes, id("a0"), attempt_result::cancelled, 5ms, start + 300ms);
    }
}

// Guards against a probe that is spent on work that may not be repeated.
BOOST_AUTO_TEST_CASE(work_that_may_not_be_repeated_is_no_probe) {
    base::random_source random(4);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 2).table());
    fail_thrice(routes, id("a0"), start);
    for (int n = 0; n < 50; ++n) {
        const routing::route_request request{writer, {}, {}, 1s, {}, false};
        BOOST_TEST(routes.choose(request, start + 1s, random)->endpoint == id("a1"));
    }
}

// Guards against failures that all endpoints share, such as bad input, taking a whole service out.
BOOST_AUTO_TEST_CASE(at_most_half_are_ejected_for_failures) {
    base::random_source random(5);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 5).table());
    for (int n = 0; n < 5; ++n) {
        fail_thrice(routes, id("a" + std::to_string(n)), start);
        fail_thrice(routes, id("a" + std::to_string(n)), start);
    }
    BOOST_TEST(routes.ejected(writer) == 2U);
    // A bound that kept counting removed endpoints would shrink with each new table.
    routes.publish(fleet().add("b", 5).table());
    BOOST_TEST(routes.ejected(writer) == 0U);
}

// Guards against sending work to processes that do not exist: refusals are not bounded, and when
// all refused, the one to return first is used.
BOOST_AUTO_TEST_CASE(refused_connection_ejects_at_once) {
    base::random_source random(6);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 3).table());
    call(routes, id("a1"), attempt_result::refused_connection, 0ms, start);
    call(routes, id("a0"), attempt_result::refused_connection, 0ms, start + 1ms);
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose(routes, start + 2ms, random)->endpoint == id("a2"));
    }
    call(routes, id("a2"), attempt_result::refused_connection, 0ms, start + 2ms);
    BOOST_TEST(choose(routes, start + 3ms, random)->endpoint == id("a1"));
}

// Guards against a bound that is passed by endpoints that refused first and fail now.
BOOST_AUTO_TEST_CASE(failed_probe_after_a_refusal_keeps_to_the_bound) {
    base::random_source random(8);
    routing::router routes{base::failure_domain("a")};
    routes.publish(fleet().add("a", 2).table());
    call(routes, id("a1"), attempt_result::refused_connection, 0ms, start);
    fail_thrice(routes, id("a0"), start + 200ms);
    BOOST_TEST(routes.ejected(writer) == 1U);
    BOOST_TEST(choose(routes, start + 250ms, random)->endpoint == id("a1"));
    call(routes, id("a1"), attempt_result::failed, 1ms, start + 250ms);
    BOOST_TEST(routes.ejected(writer) == 1U);
    BOOST_TEST(choose(routes, start + 251ms, random)->endpoint == id("a1"));
}

// Guards against new work for a leaving endpoint, whether the list or the endpoint says so.
BOOST_AUTO_TEST_CASE(leaving_endpoints_get_no_work) {
    base::random_source random(7);
    routing::router routes{base::failure_domain("a")};
    fleet listed = fleet().add("a", 2);
    routes.publish(listed.table());
    routes.endpoint_leaving(id("a0"));
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(choose(routes, start + std::chrono::hours(n), random)->endpoint == id("a1"));
    }
    listed.vms.vms[1].state = object_api::vm_state::leaving;
    routes.publish(listed.table());
    BOOST_TEST(!choose(routes, start, random).has_value());
    // Named live again, a1 is a new process; a0 still has to say that it stays.
    listed.vms.vms[1].state = object_api::vm_state::live;
    routes.publish(listed.table());
    BOOST_TEST(choose(routes, start, random)->endpoint == id("a1"));
    routes.endpoint_staying(id("a0"));
    routes.endpoint_leaving(id("a1"));
    BOOST_TEST(choose(routes, start, random)->endpoint == id("a0"));
}

// Guards against any sequence of events after which a leaving, ejected or excluded endpoint is
// chosen although another one could be.
BOOST_AUTO_TEST_CASE(property_unusable_endpoints_are_avoided) {
    const bool held = rc::check([](std::uint64_t seed,
                                   std::vector<std::pair<std::uint8_t, std::uint8_t>> events) {
        base::random_source random(seed);
        routing::router routes{base::failure_domain("a")};
        const std::size_t per_domain = 1 + random.below(24);
        routes.publish(fleet().add("a", per_domain).add("b", per_domain).table());
        std::set<base::endpoint_id> leaving;
        std::set<base::endpoint_id> refusing;
        for (const auto& [kind, number] : events) {
            const std::string domain = number % 2 == 0 ? "a" : "b";
            const base::endpoint_id endpoint = id(domain + std::to_string((number / 2U) % per_domain));
            if (kind % 2 == 0) {
                routes.endpoint_leaving(endpoint);
                leaving.insert(endpoint);
            } else {
                call(routes, endpoint, attempt_result::refused_connection, 0ms, start);
                refusing.insert(endpoint);
            }
            std::set<base::endpoint_id> unusable = refusing;
            unusable.insert(leaving.begin(), leaving.end());
            const std::optional<routing::route> chosen = choose(routes, start, random);
            RC_ASSERT(chosen.has_value() == (leaving.size() < 2 * per_domain));
            RC_ASSERT(!chosen || !leaving.contains(chosen->endpoint));
            RC_ASSERT(!chosen || unusable.size() == 2 * per_domain || !unusable.contains(chosen->endpoint));
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
