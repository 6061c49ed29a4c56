#include "fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace config = rattanbay::config;
namespace relay = rattanbay::relay;

BOOST_AUTO_TEST_SUITE(attempt_rules)

// Guards against repeating work that may have run, and against reporting it as not run.
BOOST_AUTO_TEST_CASE(work_that_may_have_run_is_not_repeated) {
    const config::retry_mode once = config::retry_mode::at_most_once;
    for (const relay::attempt_result result :
         {relay::attempt_result::broken, relay::attempt_result::timed_out,
          relay::attempt_result::answered_with_failure}) {
        BOOST_TEST(!relay::may_resend(result, once));
        BOOST_TEST(relay::may_resend(result, config::retry_mode::idempotent));
        BOOST_TEST(relay::may_resend(result, config::retry_mode::resumable));
        BOOST_CHECK(relay::outcome_after(result) != base::outcome::not_run);
    }
    for (const relay::attempt_result result :
         {relay::attempt_result::declined, relay::attempt_result::not_sent}) {
        BOOST_TEST(relay::may_resend(result, once));
        BOOST_CHECK(relay::outcome_after(result) == base::outcome::not_run);
    }
    BOOST_TEST(!relay::may_resend(relay::attempt_result::abandoned, config::retry_mode::idempotent));
}

// Guards against passing on a response to another request, an unsigned success or an encoded body.
BOOST_AUTO_TEST_CASE(only_responses_to_the_request_are_accepted) {
    const base::request_id id("9c41");
    relay::endpoint_response_header header;
    header.status = 200;
    header.request_id = id;
    header.is_signed = true;
    BOOST_TEST(relay::is_response_to(header, id));
    header.request_id = base::request_id("9c42");
    BOOST_TEST(!relay::is_response_to(header, id));
    header.request_id = std::nullopt;
    BOOST_TEST(!relay::is_response_to(header, id));
    header.request_id = id;
    header.is_signed = false;
    BOOST_TEST(!relay::is_response_to(header, id));
    header.status = 500;
    BOOST_TEST(relay::is_response_to(header, id));
    header.has_content_encoding = true;
    BOOST_TEST(!relay::is_response_to(header, id));
}

// Guards against taking an earlier refusal that an endpoint repeats for one of this request.
BOOST_AUTO_TEST_CASE(a_refusal_has_to_name_the_request_on_a_kept_connection) {
    const base::request_id id("9c41");
    relay::endpoint_response_header header;
    header.status = 503;
    header.not_run = true;
    BOOST_TEST(relay::is_refusal_of(header, id, true));
    BOOST_TEST(!relay::is_refusal_of(header, id, false));
    header.request_id = id;
    BOOST_TEST(relay::is_refusal_of(header, id, false));
    header.request_id = base::request_id("9c42");
    BOOST_TEST(!relay::is_refusal_of(header, id, true));
}

// Guards against telling a client that work was not run when only the status of the endpoint says so.
BOOST_AUTO_TEST_CASE(a_refusal_of_work_that_may_run_once_needs_the_statement_of_the_endpoint) {
    relay::endpoint_response_header header;
    header.status = 503;
    header.has_refusal_status = true;
    BOOST_TEST(relay::is_unproven_refusal(header, config::retry_mode::at_most_once));
    BOOST_TEST(!relay::is_unproven_refusal(header, config::retry_mode::idempotent));
    header.not_run = true;
    BOOST_TEST(!relay::is_unproven_refusal(header, config::retry_mode::at_most_once));
    header = {};
    header.status = 500;
    BOOST_TEST(!relay::is_unproven_refusal(header, config::retry_mode::at_most_once));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(resend_budget)

// Guards against daemons that together send more additional attempts than their shared budget allows.
BOOST_AUTO_TEST_CASE(all_daemons_together_respect_the_budget) {
    const config::retry_budget_options limits{0.2, std::chrono::seconds(10), 50};
    constexpr std::size_t daemons = 5;
    constexpr int requests = 100;
    std::size_t resent = 0;
    for (std::size_t n = 0; n < daemons; ++n) {
        relay::resend_budget budget(limits);
        for (int sent = 0; sent < requests; ++sent) {
            budget.count_request(at_ms(sent));
        }
        while (budget.try_spend(at_ms(requests), daemons)) {
            ++resent;
        }
    }
    BOOST_TEST(resent <= 0.2 * requests * daemons + 50);
    BOOST_TEST(resent > 0.2 * requests * daemons);
}

// Guards against a budget that is replenished before the window has passed.
BOOST_AUTO_TEST_CASE(limit_is_respected_in_every_window) {
    relay::resend_budget budget({0.5, std::chrono::seconds(10), 0});
    for (int sent = 0; sent < 4; ++sent) {
        budget.count_request(at_ms(1000));
    }
    BOOST_TEST(budget.try_spend(at_ms(1000), 1));
    BOOST_TEST(budget.try_spend(at_ms(6000), 1));
    BOOST_TEST(!budget.try_spend(at_ms(10'900), 1));
    BOOST_TEST(!budget.try_spend(at_ms(11'100), 1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(event_splitter)

// Guards against passing on an event before it is complete.
BOOST_AUTO_TEST_CASE(only_complete_events_are_returned) {
    relay::event_splitter splitter;
    splitter.append("id: 1\ndata: a\n");
    BOOST_TEST(!splitter.next().has_value());
    splitter.append("\nid:2\r\ndata: b\r\n\r\nid: 3\nda");
    const std::optional<relay::stream_event> first = splitter.next();
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->bytes == "id: 1\ndata: a\n\n");
    BOOST_TEST(first->id.value() == "1");
    const std::optional<relay::stream_event> second = splitter.next();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->bytes == "id:2\r\ndata: b\r\n\r\n");
    BOOST_TEST(second->id.value() == "2");
    BOOST_TEST(!splitter.next().has_value());
    BOOST_TEST(splitter.has_partial_event());
}

// Guards against time that grows with the square of an event's size, with which a faulty endpoint would hold
// the thread. The end of an event may be divided between parts.
BOOST_AUTO_TEST_CASE(a_large_event_in_small_parts_is_found) {
    relay::event_splitter splitter;
    constexpr std::size_t parts = 64 * 1024;
    const std::string part(64, 'x');
    for (std::size_t n = 0; n < parts; ++n) {
        splitter.append(part);
        BOOST_REQUIRE(!splitter.next().has_value());
    }
    BOOST_TEST(splitter.pending_bytes() == parts * part.size());
    for (const char* const end : {"\n", "\r", "\n"}) {
        BOOST_REQUIRE(!splitter.next().has_value());
        splitter.append(end);
    }
    const std::optional<relay::stream_event> event = splitter.next();
    BOOST_REQUIRE(event.has_value());
    BOOST_TEST(event->bytes.size() == parts * part.size() + 3);
    BOOST_TEST(splitter.pending_bytes() == 0U);
}

// Guards against an event without an id that gets the id of an earlier event.
BOOST_AUTO_TEST_CASE(events_may_have_no_id) {
    relay::event_splitter splitter;
    splitter.append("data: a\n\n");
    const std::optional<relay::stream_event> event = splitter.next();
    BOOST_REQUIRE(event.has_value());
    BOOST_TEST(!event->id.has_value());
    BOOST_TEST(!splitter.has_partial_event());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(route_table)

namespace {

config::relay_route route(const std::string& name, const std::string& host, const std::string& prefix) {
    config::relay_route out;
    out.name = name;
    out.host = host;
    out.path_prefix = prefix;
    return out;
}

} // namespace

// Guards against choosing the route of another host or of a shorter prefix.
BOOST_AUTO_TEST_CASE(longest_matching_prefix_of_the_host_wins) {
    const std::shared_ptr<config::relay_document> document = std::make_shared<config::relay_document>();
    for (const config::relay_route& row :
         {route("all", "one.example", "/"), route("deep", "one.example", "/a/b/"),
          route("mid", "one.example", "/a/"), route("other", "two.example", "/a/b/c/")}) {
        document->routes.push_back(std::make_shared<const config::relay_route>(row));
    }
    const relay::route_table table(document);
    BOOST_TEST(table.find("one.example", "/a/b/c/d")->name == "deep");
    BOOST_TEST(table.find("one.example", "/a/x")->name == "mid");
    BOOST_TEST(table.find("one.example", "/ab/")->name == "all");
    BOOST_TEST(table.find("two.example", "/a/b/c/d")->name == "other");
    BOOST_TEST(table.find("two.example", "/a/b/") == nullptr);
    BOOST_TEST(table.find("three.example", "/") == nullptr);
    BOOST_TEST(table.find("one.example", "/a/b/")->name == "deep");
    BOOST_TEST(table.find("one.example", "") == nullptr);
}

// Guards against a traffic split that ignores the weights.
BOOST_AUTO_TEST_CASE(targets_are_chosen_in_proportion_to_their_weights) {
    config::relay_route split = route("split", "one.example", "/");
    split.targets = {
        {base::service_name("old"), 90}, {base::service_name("new"), 10}, {base::service_name("none"), 0}};
    base::random_source random(5);
    std::map<std::string, int> counts;
    constexpr int draws = 5000;
    for (int n = 0; n < draws; ++n) {
        ++counts[relay::choose_target(split, random).text()];
    }
    BOOST_TEST(counts["old"] > 0.87 * draws);
    BOOST_TEST(counts["new"] > 0.07 * draws);
    BOOST_TEST(counts["none"] == 0);
}

BOOST_AUTO_TEST_SUITE_END()
