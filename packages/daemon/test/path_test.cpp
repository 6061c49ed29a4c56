#include "installation.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using nlohmann::json;

namespace {

json body_of(const base::result<http::response>& answer) {
    BOOST_REQUIRE_MESSAGE(answer.has_value(), (answer.has_value() ? std::string() : answer.error().message));
    return json::parse(answer->body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(path)

// Guards against a path that does not answer whole through any entry VM.
BOOST_AUTO_TEST_CASE(a_request_is_answered_through_each_daemon) {
    installation world(3);
    BOOST_REQUIRE(world.await_ready(1));
    for (std::size_t n = 0; n < 3; ++n) {
        const std::string identity = "flight-" + std::to_string(n);
        const base::result<http::response> answer =
            world.run(n, "plan", R"({"input":{"identity":")" + identity + R"("},"max_tokens":5})", "",
                      "path-" + identity);
        const json body = body_of(answer);
        BOOST_TEST(answer->status == 200);
        BOOST_TEST(body.at("stages").size() == 3U);
        BOOST_TEST(body.at("output").get<std::string>().starts_with(identity));
        const json events = world.get(world.operator_address(n), "/v1/timeline?request=path-" + identity);
        BOOST_TEST(events.at("events").size() >= 8U);
    }
}

// Guards against a stream with a missing or repeated token, or without its end mark.
BOOST_AUTO_TEST_CASE(a_stream_carries_each_token_once) {
    installation world(2);
    BOOST_REQUIRE(world.await_ready(1));
    const std::string request = R"({"input":{"identity":"menu-1"},"max_tokens":20)";
    const json whole = body_of(world.run(0, "plan", request + "}"));
    const base::result<http::response> streamed = world.run(1, "plan", request + R"(,"stream":true})");
    BOOST_REQUIRE(streamed.has_value());
    BOOST_TEST(streamed->body.ends_with("data: [DONE]\n\n"));
    std::string text;
    std::size_t position = 0;
    while ((position = streamed->body.find("data: {", position)) != std::string::npos) {
        position += std::string("data: ").size();
        const json chunk =
            json::parse(streamed->body.substr(position, streamed->body.find('\n', position) - position));
        text += chunk.value("text", "");
    }
    BOOST_TEST(text == whole.at("output").get<std::string>());
}

// Guards against bad input that is served, breaks the daemon or gets no clear answer.
BOOST_AUTO_TEST_CASE(bad_requests_are_answered_and_harm_nothing) {
    installation world(1);
    BOOST_REQUIRE(world.await_ready(1));
    BOOST_TEST(body_of(world.run(0, "plan", "{")).at("outcome") == "not_run");
    BOOST_TEST(world.run(0, "nothing", R"({"input":1})")->status == 404);
    BOOST_TEST(body_of(world.run(0, "book", R"({"input":1})")).at("type") ==
               "urn:rattanbay:problem:idempotency_key_required");
    BOOST_TEST(body_of(world.run(0, "book", R"({"input":1})", "my-own-key")).at("type") ==
               "urn:rattanbay:problem:invalid_idempotency_key");
    http::request late{"POST", "/v1/pipelines/encode/runs", {}, R"({"input":1})"};
    late.fields.add("Authorization", "Bearer planner-token");
    late.fields.add("X-Request-Deadline-Ms", "0");
    BOOST_TEST(body_of(world.exchange(world.caller_address(0), late)).at("type") ==
               "urn:rattanbay:problem:deadline_exceeded");
    http::request unknown{
        "POST", "/v1/pipelines/encode/runs", {{"Authorization", "Bearer nobody"}}, R"({"input":1})"};
    BOOST_TEST(world.exchange(world.caller_address(0), unknown)->status == 401);
    BOOST_TEST(world.run(0, "encode", R"({"input":1})")->status == 200);
}

// Guards against a stack overrun by a body that is nested too deep, also from a caller without a token,
// and against the body of an unknown caller being parsed at all.
BOOST_AUTO_TEST_CASE(a_body_nested_too_deep_is_refused) {
    installation world(1);
    BOOST_REQUIRE(world.await_ready(1));
    constexpr std::size_t levels = 100'000;
    const std::string body = "{\"input\":" + std::string(levels, '[') + std::string(levels, ']') + "}";
    http::request unknown{"POST", "/v1/pipelines/encode/runs", {}, body};
    BOOST_TEST(world.exchange(world.caller_address(0), unknown)->status == 401);
    const base::result<http::response> known = world.run(0, "encode", body);
    BOOST_TEST(body_of(known).at("outcome") == "not_run");
    BOOST_TEST(known->status == 400);
    BOOST_TEST(world.run(0, "encode", R"({"input":1})")->status == 200);
}

// Guards against a new document that does not come into force at every daemon, also at one whose
// platform connection fails.
BOOST_AUTO_TEST_CASE(a_new_document_comes_into_force_everywhere) {
    installation world(3);
    BOOST_REQUIRE(world.await_ready(1));
    world.publish_document(2);
    BOOST_TEST(world.await_ready(2));
}

// Guards against a daemon that cannot start while the platform is down although others run.
BOOST_AUTO_TEST_CASE(a_daemon_starts_while_the_platform_is_down) {
    installation world(3);
    BOOST_REQUIRE(world.await_ready(1));
    world.destroy_daemon(2);
    world.platform->set_fault({emulator::platform_fault_mode::down, {}});
    world.start_daemon(2);
    BOOST_TEST(installation::await([&world]() {
        const base::result<http::response> answer =
            world.run(2, "encode", R"({"input":{"identity":"late"}})");
        return answer && answer->status == 200;
    }));
}

// Guards against a planned stop that cuts off a stream or a request, and against a daemon that is
// still named to callers while it stops.
BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_off_nothing) {
    installation world(3);
    BOOST_REQUIRE(world.await_ready(1));
    base::result<http::response> streamed = base::fail(base::error_code::unavailable, "not sent");
    std::thread caller([&world, &streamed]() {
        streamed = world.run(0, "plan", R"({"input":{"identity":"long"},"max_tokens":400,"stream":true})");
    });
    BOOST_TEST(installation::await([&world]() { return world.status(0).at("requests") > 0; }));
    world.daemon(0).drain();
    BOOST_TEST(installation::await([&world]() {
        for (const json& row : world.get(world.caller_address(1), "/v1/entries").at("entries")) {
            if (row.at("address") == world.caller_address(0).text()) {
                return false;
            }
        }
        return true;
    }));
    // Callers may keep the address for a while and are still served.
    BOOST_TEST(world.run(0, "encode", R"({"input":1})")->status == 200);
    world.daemon(0).wait();
    caller.join();
    BOOST_REQUIRE(streamed.has_value());
    BOOST_TEST(streamed->body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(!world.run(0, "encode", R"({"input":1})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
