#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <thread>

using namespace rattanbay;
using namespace rattanbay::routing::test;
using pipeline::attempt_result;

BOOST_AUTO_TEST_SUITE(threads)

// Guards against outstanding calls or ejections that are lost or counted twice when several threads
// report them while the table is replaced.
BOOST_AUTO_TEST_CASE(counts_are_exact_after_concurrent_calls) {
    routing::router routes{base::failure_domain("a")};
    fleet listed = fleet().add("a", 3).add("b", 3);
    routes.publish(listed.table());
    std::array<std::thread, 4> callers;
    std::atomic<bool> calling{true};
    for (std::size_t n = 0; n < callers.size(); ++n) {
        callers[n] = std::thread([&routes, n] {
            base::random_source random(n);
            for (int call = 0; call < 5000; ++call) {
                const base::time_point now = start + call * 1ms;
                const base::endpoint_id endpoint = choose(routes, now, random)->endpoint;
                routes.attempt_started(endpoint);
                const auto result = static_cast<attempt_result>(random.below(5));
                routes.attempt_ended(endpoint, result, 20ms, now);
            }
        });
    }
    std::thread publisher([&] {
        while (calling) {
            routes.publish(listed.table());
            std::this_thread::yield();
        }
    });
    for (std::thread& caller : callers) {
        caller.join();
    }
    calling = false;
    publisher.join();
    BOOST_TEST(routes.ejected(writer) <= 3U);
    // Idle again, with past failures and times forgotten, every endpoint is expected to take 20 ms.
    for (object_api::vm& replaced : listed.vms.vms) {
        replaced.address.ip = {127, 0, 0, 2};
    }
    routes.publish(listed.table());
    BOOST_TEST(routes.ejected(writer) == 0U);
    base::random_source random(9);
    for (int n = 0; n < 100; ++n) {
        const routing::route chosen = choose(routes, start + 1h, random).value();
        BOOST_TEST(!chosen.crosses_domain);
        BOOST_TEST(chosen.estimate.count() == base::duration(20ms).count());
    }
}

BOOST_AUTO_TEST_SUITE_END()
