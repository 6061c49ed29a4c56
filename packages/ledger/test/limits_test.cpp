#include "internal/record.hpp"
#include "internal/sealed_record_cache.hpp"
#include "single_owner.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace ledger = rattanbay::ledger;
namespace object_api = rattanbay::object_api;
namespace test = rattanbay::ledger::test;
using namespace std::chrono_literals;

namespace {

ledger::owner_options default_options() {
    ledger::owner_options options;
    options.peer_address = {{127, 0, 1, 1}, 7100};
    options.cluster_secret = "secret";
    return options;
}

bool current_is_recorded(const test::single_owner& simulation) {
    return simulation.owner().current_prefix().recording == ledger::record_class::recorded;
}

void send_bookings_for(test::single_owner& simulation, base::duration time, base::duration interval) {
    for (const base::time_point end = simulation.now() + time; simulation.now() < end;
         simulation.run_for(interval)) {
        simulation.send_booking();
    }
}

ledger::keyed_request make_request(const base::incarnation& lost_owner, std::uint64_t window,
                                   ledger::waiter_id waiter) {
    const ledger::key_prefix prefix{
        ledger::record_class::recorded, lost_owner, window, {{127, 0, 1, 1}, 7100}};
    return {waiter,
            base::account_id("planners"),
            {prefix, "order-17"},
            base::fast_hash("body"),
            base::time_point(1h) + 5s};
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

// Guards against a busy owner that overloads the platform, which accepts only several hundred writes per
// second from all VMs together.
BOOST_AUTO_TEST_CASE(commits_keep_their_interval_and_never_overlap) {
    test::single_owner simulation(default_options(), 200);
    send_bookings_for(simulation, 2s, 1ms);
    BOOST_TEST(simulation.max_calls_in_flight() == 1U);
    BOOST_TEST(simulation.replies().size() > 1900U);
    for (std::size_t n = 1; n < simulation.commit_times().size(); ++n) {
        BOOST_REQUIRE((simulation.commit_times()[n] - simulation.commit_times()[n - 1] >= 20ms));
    }
}

// Guards against values above 1 MB, which the platform rejects, so that no further commit would succeed.
// Responses that do not fit are omitted.
BOOST_AUTO_TEST_CASE(values_stay_below_the_platforms_limit) {
    for (const std::size_t response_bytes : {100'000UL, 250'000UL, 2'000'000UL}) {
        test::single_owner simulation(default_options(), response_bytes);
        send_bookings_for(simulation, 300ms, 2ms);
        simulation.run_for(300ms);
        BOOST_TEST(simulation.platform().largest_value() < 1'000'000U);
        BOOST_TEST(simulation.start_delays_ms().size() == 150U);
    }
}

// Guards against keys that wait too long behind the replies queued during an outage, and against prefixes of
// the wrong class before, during and after it.
BOOST_AUTO_TEST_CASE(prefixes_follow_the_platform_through_an_outage) {
    test::single_owner simulation(default_options(), 2000);
    BOOST_TEST(!current_is_recorded(simulation));
    simulation.run_for(10ms);
    BOOST_TEST(current_is_recorded(simulation));
    simulation.set_platform_down(true);
    simulation.send_booking();
    simulation.run_for(1s);
    BOOST_TEST(!current_is_recorded(simulation));
    send_bookings_for(simulation, 10min, 100ms);
    BOOST_TEST(simulation.start_delays_ms().size() == 6000U);
    simulation.set_platform_down(false);
    while (!current_is_recorded(simulation)) {
        simulation.run_for(1ms);
    }
    simulation.send_booking();
    simulation.run_for(300ms);
    BOOST_TEST(simulation.start_delays_ms().size() == 6001U);
    BOOST_TEST(simulation.start_delays_ms().back() < 250.0);
}

// Guards against a retry storm while the platform fails. The backoff of an idle owner grows from 200 ms to 10
// s; full jitter halves it on average.
BOOST_AUTO_TEST_CASE(retries_back_off_during_an_outage) {
    test::single_owner simulation(default_options(), 200);
    simulation.run_for(10ms);
    simulation.set_platform_down(true);
    simulation.send_booking();
    simulation.run_for(30s);
    const auto before = simulation.owner().next_wakeup();
    BOOST_TEST((before <= simulation.now() + 10s));
    std::size_t wakeups = 0;
    for (const base::time_point end = simulation.now() + 10min; simulation.now() < end;
         simulation.run_for(100ms)) {
        wakeups += simulation.owner().next_wakeup() <= simulation.now() + 100ms ? 1 : 0;
    }
    BOOST_TEST(wakeups < 260U);
}

// Guards against unbounded growth of records: expired windows are removed from the head and their segments
// are deleted.
BOOST_AUTO_TEST_CASE(expired_windows_are_deleted_from_the_platform) {
    ledger::owner_options options = default_options();
    options.window_length = 10s;
    options.retention = 30s;
    options.segment_threshold_bytes = 4096;
    test::single_owner simulation(options, 200);
    send_bookings_for(simulation, 60s, 50ms);
    const std::size_t after_a_minute = simulation.platform().count("ledger_segments");
    BOOST_TEST(after_a_minute > 50U);
    send_bookings_for(simulation, 120s, 50ms);
    BOOST_TEST(simulation.platform().count("ledger_segments") < after_a_minute * 3 / 2);
    simulation.run_for(60s);
    BOOST_TEST(simulation.platform().count("ledger_segments") == 0U);
    const object_api::object* head = simulation.platform().find(
        ledger::internal::head_key(simulation.owner().current_prefix().incarnation));
    const base::result<ledger::internal::decoded_head> decoded = ledger::internal::decode_head(head->value);
    BOOST_TEST(decoded.value().entries.empty());
    // At 240 s: window 19 accepted new keys until 210 s and was retained for another 30 s.
    BOOST_TEST(decoded.value().head.first_window == 20U);
}

// Guards against one seal per request after a VM with many callers has failed.
BOOST_AUTO_TEST_CASE(requests_of_an_owner_share_one_seal) {
    test::single_owner simulation(default_options(), 200);
    simulation.send_booking();
    simulation.run_for(100ms);
    test::fake_platform platform = simulation.platform();
    const base::incarnation lost_owner = simulation.owner().current_prefix().incarnation;
    ledger::successor successor(base::random_source(2));
    const base::time_point now(1h);
    std::vector<ledger::successor_action> actions;
    for (ledger::waiter_id waiter = 0; waiter < 40; ++waiter) {
        for (const ledger::successor_action& it :
             successor.handle(ledger::owner_unreachable{make_request(lost_owner, waiter % 4, waiter)}, now)) {
            actions.push_back(it);
        }
    }
    std::size_t replies = 0;
    const std::uint64_t writes = platform.writes();
    for (std::size_t n = 0; n < actions.size(); ++n) {
        if (const auto* call = std::get_if<ledger::make_call>(&actions[n])) {
            const object_api::answer answer = platform.apply(call->request, std::nullopt);
            for (const ledger::successor_action& it :
                 successor.handle(ledger::call_answered{call->call, answer}, now)) {
                actions.push_back(it);
            }
        } else {
            ++replies;
        }
    }
    BOOST_TEST(replies == 40U);
    BOOST_TEST(platform.writes() == writes + 1);
}

// Guards against requests that wait although the platform is known to be down, and against requests that
// never get a reply.
BOOST_AUTO_TEST_CASE(platform_failure_results_in_unknown_outcome) {
    base::random_source random(3);
    const base::incarnation lost_owner = base::incarnation::generate(random);
    ledger::successor successor(base::random_source(2));
    base::time_point now(1h);
    std::vector<ledger::successor_action> actions =
        successor.handle(ledger::owner_unreachable{make_request(lost_owner, 0, 1)}, now);
    for (int failures = 0; failures < 2; ++failures) {
        const auto call = std::get<ledger::make_call>(actions.front()).call;
        actions = successor.handle(
            ledger::call_answered{call, object_api::failed{{base::error_code::unavailable, "down"}}}, now);
    }
    BOOST_TEST(actions.empty());
    actions = successor.handle(ledger::owner_unreachable{make_request(lost_owner, 0, 2)}, now);
    BOOST_TEST(std::get<ledger::send_reply>(actions.front()).waiter == 2U);
    actions = successor.handle(ledger::timer_expired{}, now + 5s);
    const auto& late = std::get<ledger::send_reply>(actions.front());
    BOOST_TEST(late.waiter == 1U);
    BOOST_TEST((std::get<base::problem>(late.reply).outcome == base::outcome::unknown));
}

// Guards against unbounded memory usage of sealed records, and against evicting the most recently used one.
BOOST_AUTO_TEST_CASE(sealed_record_cache_is_bounded) {
    base::random_source random(4);
    const base::incarnation lost_owner = base::incarnation::generate(random);
    ledger::internal::sealed_record_cache cache(10'000);
    const auto make_record = [](std::size_t bytes) {
        ledger::internal::sealed_record record(0);
        record.add_entries({{{1, 1}, {2, 2}, 0, ledger::response{200, std::string(bytes, 'a')}}});
        return record;
    };
    for (std::uint64_t window = 0; window < 20; ++window) {
        cache.insert({lost_owner, window}, make_record(2000));
        BOOST_TEST(cache.find({lost_owner, 0}) != nullptr);
    }
    cache.insert({lost_owner, 99}, make_record(20'000));
    std::size_t cached = 0;
    for (std::uint64_t window = 0; window < 100; ++window) {
        cached += cache.find({lost_owner, window}) != nullptr ? 1 : 0;
    }
    BOOST_TEST(cached == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
