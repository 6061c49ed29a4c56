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

ledger::owner_options options() {
    ledger::owner_options chosen;
    chosen.peer_address = {{127, 0, 1, 1}, 7100};
    chosen.cluster_secret = "secret";
    return chosen;
}

bool current_is_recorded(const test::single_owner& own) {
    return own.owner().current_prefix().recording == ledger::record_class::recorded;
}

void book_for(test::single_owner& own, base::duration time, base::duration gap) {
    for (const base::time_point end = own.now() + time; own.now() < end; own.run_for(gap)) {
        own.book();
    }
}

ledger::keyed_request request_of(const base::incarnation& lost, std::uint64_t window,
                                 ledger::waiter_id waiter) {
    const ledger::key_prefix prefix{ledger::record_class::recorded, lost, window, {{127, 0, 1, 1}, 7100}};
    return {waiter,
            base::account_id("planners"),
            {prefix, "order-17"},
            base::fast_hash("body"),
            base::time_point(1h) + 5s};
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits)

// Guards against a platform that is flooded by a busy owner: several hundred writes per second have
// to do for all VMs.
BOOST_AUTO_TEST_CASE(commits_are_apart_and_one_at_a_time) {
    test::single_owner own(options(), 200);
    book_for(own, 2s, 1ms);
    BOOST_TEST(own.most_calls_in_flight() == 1U);
    BOOST_TEST(own.replies().size() > 1900U);
    for (std::size_t n = 1; n < own.commits().size(); ++n) {
        BOOST_REQUIRE((own.commits()[n] - own.commits()[n - 1] >= 20ms));
    }
}

// Guards against values that the platform rejects, which would end all commits: a value is at most
// 1 MB, and answers that do not fit are left out.
BOOST_AUTO_TEST_CASE(values_stay_below_the_platforms_limit) {
    for (const std::size_t answer_bytes : {100'000UL, 250'000UL, 2'000'000UL}) {
        test::single_owner own(options(), answer_bytes);
        book_for(own, 300ms, 2ms);
        own.run_for(300ms);
        BOOST_TEST(own.platform().largest_value() < 1'000'000U);
        BOOST_TEST(own.waits().size() == 150U);
    }
}

// Guards against an outage after which keys wait behind the answers that the outage left, and
// against prefixes of the wrong class before, during and after it.
BOOST_AUTO_TEST_CASE(prefixes_follow_the_platform_through_an_outage) {
    test::single_owner own(options(), 2000);
    BOOST_TEST(!current_is_recorded(own));
    own.run_for(10ms);
    BOOST_TEST(current_is_recorded(own));
    own.set_platform_down(true);
    own.book();
    own.run_for(1s);
    BOOST_TEST(!current_is_recorded(own));
    book_for(own, 10min, 100ms);
    BOOST_TEST(own.waits().size() == 6000U);
    own.set_platform_down(false);
    while (!current_is_recorded(own)) {
        own.run_for(1ms);
    }
    own.book();
    own.run_for(300ms);
    BOOST_TEST(own.waits().size() == 6001U);
    BOOST_TEST(own.waits().back() < 250.0);
}

// Guards against a platform that is stormed while it fails: the tries of an idle owner are 200 ms to
// 10 s apart, by full jitter half of that in the mean.
BOOST_AUTO_TEST_CASE(tries_back_off_during_an_outage) {
    test::single_owner own(options(), 200);
    own.run_for(10ms);
    own.set_platform_down(true);
    own.book();
    own.run_for(30s);
    const auto before = own.owner().next_wakeup();
    BOOST_TEST((before <= own.now() + 10s));
    std::size_t wakeups = 0;
    for (const base::time_point end = own.now() + 10min; own.now() < end; own.run_for(100ms)) {
        wakeups += own.owner().next_wakeup() <= own.now() + 100ms ? 1 : 0;
    }
    BOOST_TEST(wakeups < 260U);
}

// Guards against records and memory that grow for ever: dropped windows leave the head, and their
// segments are deleted.
BOOST_AUTO_TEST_CASE(dropped_windows_leave_the_platform) {
    ledger::owner_options chosen = options();
    chosen.window = 10s;
    chosen.retention = 30s;
    chosen.segment_bytes = 4096;
    test::single_owner own(chosen, 200);
    book_for(own, 60s, 50ms);
    const std::size_t after_a_minute = own.platform().count("ledger_segments");
    BOOST_TEST(after_a_minute > 50U);
    book_for(own, 120s, 50ms);
    BOOST_TEST(own.platform().count("ledger_segments") < after_a_minute * 3 / 2);
    own.run_for(60s);
    BOOST_TEST(own.platform().count("ledger_segments") == 0U);
    const object_api::object* head =
        own.platform().find(ledger::internal::head_key(own.owner().current_prefix().incarnation));
    const base::result<ledger::internal::record> read = ledger::internal::decode_head(head->value);
    BOOST_TEST(read.value().entries.empty());
    // After 240 s; window 19 took first arrivals until 210 s and was kept for 30 s more.
    BOOST_TEST(read.value().head.first_window == 20U);
}

// Guards against a seal per request when a VM with many callers dies.
BOOST_AUTO_TEST_CASE(one_seal_for_all_requests_of_an_owner) {
    test::single_owner own(options(), 200);
    own.book();
    own.run_for(100ms);
    test::fake_platform store = own.platform();
    const base::incarnation lost = own.owner().current_prefix().incarnation;
    ledger::successor next(base::random_source(2));
    const base::time_point now(1h);
    std::vector<ledger::successor_action> actions;
    for (ledger::waiter_id waiter = 0; waiter < 40; ++waiter) {
        for (const ledger::successor_action& it :
             next.handle(ledger::owner_lost{request_of(lost, waiter % 4, waiter)}, now)) {
            actions.push_back(it);
        }
    }
    std::size_t replies = 0;
    const std::uint64_t writes = store.writes();
    for (std::size_t n = 0; n < actions.size(); ++n) {
        if (const auto* call = std::get_if<ledger::make_call>(&actions[n])) {
            const object_api::answer given = store.apply(call->request, std::nullopt);
            for (const ledger::successor_action& it :
                 next.handle(ledger::call_answered{call->call, given}, now)) {
                actions.push_back(it);
            }
        } else {
            ++replies;
        }
    }
    BOOST_TEST(replies == 40U);
    BOOST_TEST(store.writes() == writes + 1);
}

// Guards against callers that wait for a platform that is known to be down, and against a reply
// that never comes.
BOOST_AUTO_TEST_CASE(a_failed_platform_gives_unknown) {
    base::random_source random(3);
    const base::incarnation lost = base::incarnation::generate(random);
    ledger::successor next(base::random_source(2));
    base::time_point now(1h);
    std::vector<ledger::successor_action> actions =
        next.handle(ledger::owner_lost{request_of(lost, 0, 1)}, now);
    for (int failures = 0; failures < 2; ++failures) {
        const auto call = std::get<ledger::make_call>(actions.front()).call;
        actions = next.handle(
            ledger::call_answered{call, object_api::failed{{base::error_code::unavailable, "down"}}}, now);
    }
    BOOST_TEST(actions.empty());
    actions = next.handle(ledger::owner_lost{request_of(lost, 0, 2)}, now);
    BOOST_TEST(std::get<ledger::send_reply>(actions.front()).waiter == 2U);
    actions = next.handle(ledger::woken{}, now + 5s);
    const auto& late = std::get<ledger::send_reply>(actions.front());
    BOOST_TEST(late.waiter == 1U);
    BOOST_TEST((std::get<base::problem>(late.reply).outcome == base::outcome::unknown));
}

// Guards against sealed records that fill the memory, and against dropping the one in use.
BOOST_AUTO_TEST_CASE(sealed_records_are_cached_with_a_bound) {
    base::random_source random(4);
    const base::incarnation lost = base::incarnation::generate(random);
    ledger::internal::sealed_record_cache cache(10'000);
    const auto record_of = [](std::size_t bytes) {
        ledger::internal::sealed_record record(0);
        record.add({{{1, 1}, {2, 2}, 0, ledger::answer{200, std::string(bytes, 'a')}}});
        return record;
    };
    for (std::uint64_t window = 0; window < 20; ++window) {
        cache.keep({lost, window}, record_of(2000));
        BOOST_TEST(cache.use({lost, 0}) != nullptr);
    }
    cache.keep({lost, 99}, record_of(20'000));
    std::size_t kept = 0;
    for (std::uint64_t window = 0; window < 100; ++window) {
        kept += cache.use({lost, window}) != nullptr ? 1 : 0;
    }
    BOOST_TEST(kept == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
