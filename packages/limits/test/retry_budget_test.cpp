#include <rattanbay/limits/retry_budget.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

using namespace rattanbay;

BOOST_AUTO_TEST_SUITE(retry_budget)

// Guards against retries beyond the limit for any sequence of calls, retries and pauses. Some times go back
// a little, because threads read the clock before they use the budget.
BOOST_AUTO_TEST_CASE(property_budget_is_respected_in_each_window) {
    const bool held = rc::check([](std::vector<std::pair<std::uint8_t, std::uint16_t>> events) {
        limits::retry_budget budget;
        std::int64_t newest = 500'000'000;
        std::int64_t window = 0;
        struct counts {
            std::uint64_t calls = 0;
            std::uint64_t successes = 0;
            std::uint64_t spent = 0;
        };
        std::map<std::int64_t, counts> windows;
        for (const auto& [kind, step] : events) {
            newest += step * 10;
            const base::time_point now{base::duration(kind % 3 == 0 ? newest - step : newest)};
            window = std::max(window, now.time_since_epoch().count() / 1'000'000);
            auto& [calls, successes, spent] = windows[window];
            const std::uint64_t carried = windows.contains(window - 1) ? windows[window - 1].calls : 0;
            const std::uint64_t bound = std::max<std::uint64_t>(3, calls / 10);
            const std::array<std::uint64_t, 3> min_granted{bound / 2, bound, std::max(bound, successes)};
            const std::array<std::uint64_t, 3> max_granted{bound / 2, bound,
                                                           std::max(bound, successes + carried)};
            if (kind % 4 == 0) {
                budget.count_call(now);
                ++calls;
            } else if (kind % 4 == 1) {
                budget.count_success(now);
                ++successes;
            } else {
                const auto cause = static_cast<limits::retry_cause>(kind % 3);
                const bool granted = budget.try_spend(now, cause);
                RC_ASSERT(granted || spent >= min_granted.at(kind % 3));
                RC_ASSERT(!granted || spent < max_granted.at(kind % 3));
                spent += granted ? 1 : 0;
            }
        }
    });
    BOOST_TEST(held);
}

// Guards against a budget that grants fewer retries than guaranteed for a cause.
BOOST_AUTO_TEST_CASE(budget_grants_three_retries_or_a_tenth_of_the_calls) {
    limits::retry_budget budget;
    const base::time_point now{std::chrono::seconds(500)};
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(budget.try_spend(now));
    }
    BOOST_TEST(!budget.try_spend(now));
    BOOST_TEST(!budget.try_spend(now, limits::retry_cause::failure_reported));
    for (int n = 0; n < 4; ++n) {
        budget.count_success(now);
    }
    BOOST_TEST(budget.try_spend(now, limits::retry_cause::failure_reported));
    BOOST_TEST(!budget.try_spend(now, limits::retry_cause::failure_reported));
    for (int n = 0; n < 100; ++n) {
        budget.count_call(now);
    }
    BOOST_TEST(budget.try_spend(now, limits::retry_cause::hedge));
    BOOST_TEST(!budget.try_spend(now, limits::retry_cause::hedge));
    for (int n = 0; n < 5; ++n) {
        BOOST_TEST(budget.try_spend(now));
    }
    BOOST_TEST(!budget.try_spend(now));
    BOOST_TEST(budget.try_spend(now + std::chrono::seconds(1)));
}

// Guards against hedges at a cost weight of 1, which disables them.
BOOST_AUTO_TEST_CASE(cost_weight_limits_hedges) {
    limits::retry_budget budget;
    const base::time_point now{std::chrono::seconds(500)};
    budget.set_cost_weight(1);
    BOOST_TEST(!budget.try_spend(now, limits::retry_cause::hedge));
    budget.set_cost_weight(0);
    BOOST_TEST(budget.try_spend(now, limits::retry_cause::hedge));
}

// Guards against successes that fund retries beyond the next window, or none in the next window.
BOOST_AUTO_TEST_CASE(successes_fund_retries_in_the_next_window) {
    limits::retry_budget budget;
    const base::time_point now{std::chrono::seconds(500)};
    for (int n = 0; n < 20; ++n) {
        budget.count_call(now);
        budget.count_success(now);
    }
    const auto spend_all = [](limits::retry_budget& from, base::time_point at) {
        int spent = 0;
        while (from.try_spend(at, limits::retry_cause::failure_reported)) {
            ++spent;
        }
        return spent;
    };
    BOOST_TEST(spend_all(budget, now + std::chrono::seconds(1)) == 20);
    BOOST_TEST(spend_all(budget, now + std::chrono::seconds(2)) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
