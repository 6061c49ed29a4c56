#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <thread>

using namespace rattanbay;
using namespace rattanbay::routing::test;
using pipeline::attempt_result;

BOOST_AUTO_TEST_SUITE(threads)

// Guards against outstanding calls or ejections that are lost or counted twice when several threads report
// outcomes while another one replaces the table.
BOOST_AUTO_TEST_CASE(counts_are_exact_after_concurrent_calls) {
    routing::router router{base::failure_domain("a")};
    table_builder builder = table_builder().add("a", 3).add("b", 3);
    router.publish(builder.build());
    std::array<std::thread, 4> callers;
    std::atomic<bool> running{true};
    for (std::size_t n = 0; n < callers.size(); ++n) {
        callers[n] = std::thread([&router, n] {
            base::random_source random(n);
            for (int call = 0; call < 5000; ++call) {
                const base::time_point now = start_time + call * 1ms;
                const base::endpoint_id endpoint = choose(router, now, random)->endpoint;
                router.attempt_started(endpoint);
                const auto result = static_cast<attempt_result>(random.below(5));
                router.attempt_ended(endpoint, result, 20ms, now);
            }
        });
    }
    std::thread publisher([&] {
        while (running) {
            router.publish(builder.build());
            std::this_thread::yield();
        }
    });
    for (std::thread& caller : callers) {
        caller.join();
    }
    running = false;
    publisher.join();
    BOOST_TEST(router.ejected_count(writer) <= 3U);
    // After the address changes, all measurements are reset; every endpoint is idle with the expected 20 ms.
    for (object_api::vm& replaced : builder.vms.vms) {
        replaced.address.ip = {127, 0, 0, 2};
    }
    router.publish(builder.build());
    BOOST_TEST(router.ejected_count(writer) == 0U);
    base::random_source random(9);
    for (int n = 0; n < 100; ++n) {
        const routing::route route = choose(router, start_time + 1h, random).value();
        BOOST_TEST(!route.crosses_domain);
        BOOST_TEST(route.estimated_latency.count() == base::duration(20ms).count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
