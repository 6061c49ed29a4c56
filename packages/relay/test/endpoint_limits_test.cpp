#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace relay = rattanbay::relay;

namespace {

const base::endpoint_id endpoint("e1");

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_limits)

// Guards against daemons that are not told of a limit or of its end, and against a report for each answer.
BOOST_AUTO_TEST_CASE(changes_are_announced_at_once_and_the_rest_rarely) {
    relay::endpoint_limits limits;
    BOOST_TEST(!limits.record_answer(endpoint, std::nullopt, at_ms(0)));
    BOOST_TEST(limits.record_answer(endpoint, 10.0, at_ms(0)));
    BOOST_TEST(!limits.record_answer(endpoint, 10.5, at_ms(100)));
    BOOST_TEST(limits.record_answer(endpoint, 8.0, at_ms(200)));
    BOOST_TEST(!limits.record_answer(endpoint, 8.0, at_ms(5100)));
    BOOST_TEST(limits.record_answer(endpoint, 8.0, at_ms(5200)));
    BOOST_TEST(limits.record_answer(endpoint, std::nullopt, at_ms(5300)));
    BOOST_TEST(!limits.find(endpoint).has_value());
}

// Guards against a limit that stays for ever after its endpoint went unheard, and against one that is
// forgotten while other daemons still see it.
BOOST_AUTO_TEST_CASE(limits_that_nobody_sees_are_forgotten) {
    relay::endpoint_limits limits;
    limits.record_announcement(endpoint, 3.0, at_ms(0));
    BOOST_TEST(limits.remove_expired(at_ms(14'000)).empty());
    limits.record_announcement(endpoint, 3.0, at_ms(14'000));
    BOOST_TEST(limits.remove_expired(at_ms(28'000)).empty());
    BOOST_TEST(limits.remove_expired(at_ms(29'000)).size() == 1U);
    BOOST_TEST(limits.list().empty());
}

// The sum over all daemons in 4 s must stay below one and a half times the limit and 5 requests, also if each
// sender starts with one request.
BOOST_AUTO_TEST_CASE(the_senders_together_keep_the_limit) {
    constexpr double window_seconds = 4;
    for (const double limit : {0.0, 0.3, 1.0, 1.6, 5.0, 40.0, 500.0}) {
        const double senders = static_cast<double>(relay::sender_count(limit));
        BOOST_TEST(limit * window_seconds + senders <= 1.5 * limit * window_seconds + 5, "limit " << limit);
    }
}

BOOST_AUTO_TEST_SUITE_END()
