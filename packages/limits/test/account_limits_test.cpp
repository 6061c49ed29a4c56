#include <rattanbay/limits/account_limits.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <atomic>
#include <numeric>
#include <thread>
#include <vector>

using namespace rattanbay;
using namespace std::chrono_literals;

namespace {

const base::account_id account("planners");
const base::time_point start{1000s};

config::environment_document document(double rate, double burst, std::size_t concurrency) {
    config::environment_document result;
    result.accounts[account] = {account, "", rate, burst, concurrency, 0};
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(account_limits)

// Guards against a token bucket that admits more or less than rate and burst allow, and against a retry
// delay after which a request is still refused.
BOOST_AUTO_TEST_CASE(rate_and_burst_bound_requests) {
    limits::account_limits limits;
    limits.configure(document(100, 10, 1000), 1);
    std::size_t admitted = 0;
    for (base::time_point now = start; now < start + 2s; now += 1ms) {
        admitted += limits.admit(account, now).has_value() ? 1 : 0;
    }
    BOOST_TEST(admitted >= 208U);
    BOOST_TEST(admitted <= 210U);
    const limits::refusal refused = limits.admit(account, start + 2s - 1ms).error();
    BOOST_TEST((refused.reason == limits::refusal_reason::rate));
    BOOST_TEST(limits.admit(account, start + 2s - 1ms + refused.retry_after).has_value());
    BOOST_TEST((limits.admit(base::account_id("x"), start).error().reason ==
                limits::refusal_reason::unknown_account));
}

// Guards against a change of the observed share that also scales the tokens left in the bucket.
BOOST_AUTO_TEST_CASE(share_changes_do_not_scale_tokens) {
    limits::account_limits limits;
    limits.configure(document(80, 40, 1000), 8);
    while (limits.admit(account, start)) {
    }
    limits.set_observed_share(account, 1);
    std::size_t admitted = 0;
    for (base::time_point now = start; now < start + 1s; now += 1ms) {
        admitted += limits.admit(account, now).has_value() ? 1 : 0;
    }
    BOOST_TEST(admitted >= 78U);
    BOOST_TEST(admitted <= 80U);
}

// Guards against VMs that together admit more than 1.25 times the rate plus one burst per VM, and against
// a VM that admits less than its share.
BOOST_AUTO_TEST_CASE(property_all_vms_together_respect_the_rate) {
    const bool held = rc::check([](std::array<std::uint8_t, 5> traffic) {
        constexpr double rate = 100;
        constexpr double burst = 2;
        constexpr double seconds = 20;
        const double sum = std::accumulate(traffic.begin(), traffic.end(), 0.0);
        double admitted = 0;
        for (const std::uint8_t weight : traffic) {
            limits::account_limits limits;
            limits.configure(document(rate, burst, 1000), traffic.size());
            const double share = sum > 0 ? weight / sum : 0.2;
            if (sum > 0) {
                limits.set_observed_share(account, share);
            }
            double admitted_by_vm = 0;
            for (base::time_point now = start; now < start + 20s; now += 5ms) {
                admitted_by_vm += limits.admit(account, now).has_value() ? 1 : 0;
            }
            RC_ASSERT(admitted_by_vm >= share * rate * seconds);
            admitted += admitted_by_vm;
        }
        RC_ASSERT(admitted <= 1.25 * rate * seconds + burst * traffic.size());
    });
    BOOST_TEST(held);
}

// Guards against permits beyond the concurrency limit and against lost permits, for any sequence of
// acquiring, moving and releasing permits and of new documents.
BOOST_AUTO_TEST_CASE(property_permits_respect_the_concurrency_limit) {
    const bool held = rc::check([](std::vector<std::uint8_t> events) {
        limits::account_limits limits;
        std::size_t limit = 8;
        limits.configure(document(1e6, 1e6, limit), 1);
        std::vector<limits::permit> permits;
        for (const std::uint8_t event : events) {
            if (event % 8 == 0) {
                limit = 1 + event / 8U;
                limits.configure(document(1e6, 1e6, limit), 1);
            } else if (event % 3 == 0 && !permits.empty()) {
                permits[event % permits.size()] = std::move(permits.back());
                permits.pop_back();
            } else {
                const std::size_t before = permits.size();
                tl::expected<limits::permit, limits::refusal> permit = limits.admit(account, start);
                RC_ASSERT(permit.has_value() == (before < limit));
                if (permit) {
                    permits.push_back(std::move(*permit));
                }
            }
            RC_ASSERT(limits.in_progress(account) == permits.size());
        }
        permits.clear();
        RC_ASSERT(limits.in_progress(account) == 0U);
    });
    BOOST_TEST(held);
}

// Guards against two threads that both acquire the last slot.
BOOST_AUTO_TEST_CASE(concurrent_threads_respect_the_concurrency_limit) {
    limits::account_limits limits;
    limits.configure(document(1e6, 1e6, 3), 1);
    std::atomic<int> inside{0};
    std::atomic<int> max_inside{0};
    std::array<std::thread, 4> threads;
    for (std::thread& thread : threads) {
        thread = std::thread([&] {
            for (int call = 0; call < 20'000; ++call) {
                const auto permit = limits.admit(account, start);
                if (permit) {
                    const int now_inside = ++inside;
                    int seen = max_inside;
                    while (now_inside > seen && !max_inside.compare_exchange_weak(seen, now_inside)) {
                    }
                    --inside;
                }
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    BOOST_TEST(max_inside <= 3);
    BOOST_TEST(limits.in_progress(account) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
