#include "session.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace pipeline = rattanbay::pipeline;
using namespace std::chrono_literals;
using namespace rattanbay::pipeline::test;

namespace {

pipeline::request make_request(std::string input) {
    pipeline::request req;
    req.id = base::request_id("req-1");
    req.input = std::move(input);
    req.deadline = at(8s);
    return req;
}

/// Responds to the only `request_route` in `actions` and returns the resulting attempt.
pipeline::start_attempt route(pipeline::execution& execution, const std::vector<pipeline::action>& actions,
                              base::time_point now) {
    const auto route_requests = actions_of<pipeline::request_route>(actions);
    BOOST_REQUIRE_EQUAL(route_requests.size(), 1U);
    const pipeline::route_chosen chosen{route_requests[0].attempt, base::endpoint_id("e1"),
                                        base::address::parse("127.0.1.1:9000").value(), 20ms};
    const auto started_attempt = actions_of<pipeline::start_attempt>(execution.handle(chosen, now));
    BOOST_REQUIRE_EQUAL(started_attempt.size(), 1U);
    return started_attempt[0];
}

} // namespace

BOOST_AUTO_TEST_SUITE(execution)

// Guards against a stage whose input is not the output of the preceding stage.
BOOST_AUTO_TEST_CASE(four_stages_pass_each_output_on) {
    pipeline::execution execution = make_execution(make_request(R"({"q":1})"), four_stages());
    std::vector<pipeline::action> actions = execution.handle(pipeline::started{}, at(0ms));
    for (const std::string input : {R"({"q":1})", "[0]", "[1]"}) {
        const pipeline::start_attempt started_attempt = route(execution, actions, at(1ms));
        BOOST_TEST(started_attempt.path == "/v1/call");
        BOOST_TEST(started_attempt.body == R"({"input":)" + input + "}");
        BOOST_TEST(started_attempt.attempt_header == "req-1/" + std::to_string(started_attempt.stage) + "/" +
                                                         std::to_string(started_attempt.attempt.value));
        const std::string output = R"({"output":[)" + std::to_string(started_attempt.stage) + "]}";
        actions = execution.handle(
            pipeline::response_received{started_attempt.attempt, 200, output, started_attempt.attempt_header},
            at(2ms));
    }
    const pipeline::start_attempt started_attempt = route(execution, actions, at(3ms));
    BOOST_TEST(started_attempt.path == "/v1/completions");
    BOOST_TEST(started_attempt.body == R"({"priority":0,"prompt":"[2]","stream":false})");
    const std::string answer = R"({"choices":[{"index":0,"text":"done"}],"usage":{"completion_tokens":3}})";
    actions = execution.handle(
        pipeline::response_received{started_attempt.attempt, 200, answer, std::nullopt}, at(4ms));
    const auto ends = actions_of<pipeline::complete>(actions);
    BOOST_REQUIRE_EQUAL(ends.size(), 1U);
    BOOST_TEST(ends[0].output == R"("done")");
    BOOST_TEST(ends[0].stages.size() == 4U);
    BOOST_TEST(ends[0].tokens == 3U);
    BOOST_TEST(execution.ended());
}

// Guards against tokens that are emitted twice or not at all.
BOOST_AUTO_TEST_CASE(stream_is_passed_on_token_by_token) {
    pipeline::request req = make_request(R"("tell")");
    req.streamed = true;
    req.max_tokens = 8;
    pipeline::execution execution =
        make_execution(req, {{"generate", rattanbay::config::service_kind::model_engine}});
    const pipeline::start_attempt started_attempt =
        route(execution, execution.handle(pipeline::started{}, at(0ms)), at(1ms));
    BOOST_TEST(started_attempt.streamed);
    BOOST_TEST(started_attempt.body == R"({"max_tokens":8,"priority":0,"prompt":"tell","stream":true})");
    std::string text;
    for (const unsigned index : {0U, 1U, 1U, 0U, 2U}) {
        const pipeline::token_received token{started_attempt.attempt, "s1", index, std::to_string(index)};
        for (const pipeline::emit_token& emitted :
             actions_of<pipeline::emit_token>(execution.handle(token, at(5ms)))) {
            text += emitted.text;
        }
    }
    BOOST_TEST(text == "012");
    const pipeline::response_received end{started_attempt.attempt, 200, "", started_attempt.attempt_header};
    const auto ends = actions_of<pipeline::complete>(execution.handle(end, at(9ms)));
    BOOST_REQUIRE_EQUAL(ends.size(), 1U);
    BOOST_TEST(ends[0].output == R"("012")");
}

// Guards against an input so deeply nested that serializing it would exhaust the stack.
BOOST_AUTO_TEST_CASE(unacceptable_input_is_refused_and_not_run) {
    for (const std::string& input :
         {std::string("{"), std::string(100'000, '[') + std::string(100'000, ']')}) {
        pipeline::execution execution = make_execution(make_request(input), four_stages());
        const auto ends = actions_of<pipeline::fail>(execution.handle(pipeline::started{}, at(0ms)));
        BOOST_REQUIRE_EQUAL(ends.size(), 1U);
        BOOST_TEST((ends[0].problem.kind == base::problem_kind::malformed_request));
        BOOST_TEST((ends[0].problem.outcome == base::outcome::not_run));
    }
}

// Guards against lost tokens when an engine streams although the caller did not request a stream.
BOOST_AUTO_TEST_CASE(streamed_answer_is_collected) {
    pipeline::execution execution = make_execution(
        make_request(R"("tell")"), {{"generate", rattanbay::config::service_kind::model_engine}});
    const pipeline::start_attempt started_attempt =
        route(execution, execution.handle(pipeline::started{}, at(0ms)), at(1ms));
    for (const unsigned index : {0U, 1U}) {
        const pipeline::token_received token{started_attempt.attempt, "s1", index, std::to_string(index)};
        BOOST_TEST(actions_of<pipeline::emit_token>(execution.handle(token, at(5ms))).empty());
    }
    const pipeline::response_received end{started_attempt.attempt, 200, "", std::nullopt};
    const auto ends = actions_of<pipeline::complete>(execution.handle(end, at(9ms)));
    BOOST_REQUIRE_EQUAL(ends.size(), 1U);
    BOOST_TEST(ends[0].output == R"("01")");
}

// Guards against retrying an invalid call, and against failing a call that another endpoint may accept.
BOOST_AUTO_TEST_CASE(status_decides_about_a_retry) {
    for (const int status : {400, 404, 408, 429, 500, 503}) {
        pipeline::execution execution = make_execution(make_request("1"), {{"encode"}});
        const pipeline::start_attempt started_attempt =
            route(execution, execution.handle(pipeline::started{}, at(0ms)), at(1ms));
        const auto actions = execution.handle(
            pipeline::response_received{started_attempt.attempt, status, "{}", std::nullopt}, at(9ms));
        const bool final = status == 400 || status == 404;
        BOOST_TEST(actions_of<pipeline::request_route>(actions).empty() == final, status);
        BOOST_TEST(actions_of<pipeline::fail>(actions).empty() != final, status);
    }
}

// Guards against the outcome `not_run` for a call to which the endpoint responded.
BOOST_AUTO_TEST_CASE(any_status_of_a_non_idempotent_stage_means_that_it_ran) {
    for (const int status : {400, 429, 503}) {
        pipeline::execution execution = make_execution(
            make_request("1"), {{"book", rattanbay::config::service_kind::plain_service, false}});
        const pipeline::start_attempt started_attempt =
            route(execution, execution.handle(pipeline::started{}, at(0ms)), at(1ms));
        const pipeline::response_received answer{started_attempt.attempt, status, "{}", std::nullopt};
        const auto ends = actions_of<pipeline::fail>(execution.handle(answer, at(9ms)));
        BOOST_REQUIRE_EQUAL(ends.size(), 1U);
        BOOST_TEST((ends[0].problem.kind == base::problem_kind::stage_failed));
        BOOST_TEST((ends[0].problem.outcome == base::outcome::ran));
    }
}

BOOST_AUTO_TEST_SUITE_END()
