#include <rattanbay/limits/admission.hpp>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace rattanbay;
using namespace std::chrono_literals;

namespace {

const base::account_id large("large");
const base::account_id small("small");
const base::time_point start{1000s};

base::request_id id(std::size_t number) {
    return base::request_id(std::to_string(number));
}

std::string join_ids(const std::vector<base::request_id>& ids) {
    std::string joined;
    for (const base::request_id& request : ids) {
        joined += request.text() + ' ';
    }
    return joined;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_controller)

// Guards against a burst of one account that delays the request of another account.
BOOST_AUTO_TEST_CASE(burst_does_not_delay_a_small_account) {
    limits::admission_controller controller(4, 1000);
    for (std::size_t n = 0; n < 100; ++n) {
        controller.submit(id(n), large, start + 10s, start);
    }
    BOOST_TEST(join_ids(controller.submit(id(200), small, start + 20s, start).start).empty());
    BOOST_TEST(join_ids(controller.finish(id(0), start + 1s).start) == "200 ");
}

// Guards against starting requests that can no longer meet their deadline.
BOOST_AUTO_TEST_CASE(expired_requests_are_refused) {
    limits::admission_controller controller(1, 1000);
    controller.submit(id(0), large, start + 10s, start);
    controller.submit(id(1), large, start + 5s, start, 2s);
    controller.submit(id(2), large, start + 4s, start);
    BOOST_TEST((controller.next_expiry() == start + 3s + 1us));
    BOOST_TEST(join_ids(controller.expire(start + 3s).refuse).empty());
    BOOST_TEST(join_ids(controller.expire(start + 3s + 1us).refuse) == "1 ");
    BOOST_TEST(join_ids(controller.submit(id(3), small, start + 4s, start + 3500ms, 1s).refuse) == "3 ");
    BOOST_TEST(join_ids(controller.finish(id(0), start + 4s).start) == "2 ");
}

// Guards against a queue without limit, and against a limit that refuses the account with fewer requests.
BOOST_AUTO_TEST_CASE(full_queue_refuses_the_account_with_most_requests) {
    limits::admission_controller controller(1, 3);
    controller.submit(id(0), large, start + 10s, start);
    controller.submit(id(1), large, start + 10s, start);
    controller.submit(id(2), large, start + 9s, start);
    controller.submit(id(3), large, start + 11s, start);
    BOOST_TEST(join_ids(controller.submit(id(4), small, start + 20s, start).refuse) == "3 ");
    BOOST_TEST(join_ids(controller.configure(2, 1).start) == "4 ");
    BOOST_TEST(controller.waiting() == 1U);
}

// Guards against lost or duplicated requests, more requests in progress than allowed, free slots while
// requests wait, and an account that is passed over although it has the fewest requests in progress, for
// any sequence of events.
BOOST_AUTO_TEST_CASE(property_requests_are_decided_once_and_fairly) {
    const bool held = rc::check([](std::vector<std::pair<std::uint8_t, std::uint16_t>> events) {
        constexpr std::size_t max_running = 3;
        constexpr std::size_t max_waiting = 6;
        limits::admission_controller controller(max_running, max_waiting);
        base::time_point now = start;
        std::set<base::request_id> waiting;
        std::set<base::request_id> running;
        std::map<base::request_id, base::account_id> accounts;
        std::size_t next_id = 0;
        const auto running_of = [&](const base::account_id& account) {
            return std::count_if(running.begin(), running.end(), [&](const base::request_id& request) {
                return accounts.at(request) == account;
            });
        };
        const auto apply = [&](const limits::admission_decisions& decisions) {
            for (const base::request_id& request : decisions.refuse) {
                RC_ASSERT(waiting.erase(request) == 1U);
            }
            for (const base::request_id& request : decisions.start) {
                RC_ASSERT(waiting.erase(request) == 1U);
                for (const base::request_id& other : waiting) {
                    RC_ASSERT(running_of(accounts.at(request)) <= running_of(accounts.at(other)));
                }
                running.insert(request);
            }
        };
        for (const auto& [kind, value] : events) {
            now += base::duration(value);
            if (kind % 3 == 0 && !running.empty()) {
                const base::request_id done = *running.begin();
                running.erase(done);
                apply(controller.finish(done, now));
            } else if (kind % 7 == 0) {
                apply(controller.expire(now));
            } else {
                const base::request_id request = id(next_id++);
                accounts[request] = base::account_id(std::to_string(kind % 4));
                waiting.insert(request);
                apply(controller.submit(request, accounts[request], now + base::duration(value * 3), now));
            }
            RC_ASSERT(running.size() <= max_running);
            RC_ASSERT(waiting.empty() || running.size() == max_running);
            RC_ASSERT(waiting.size() <= max_waiting);
            RC_ASSERT(controller.running() == running.size());
            RC_ASSERT(controller.waiting() == waiting.size());
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()
