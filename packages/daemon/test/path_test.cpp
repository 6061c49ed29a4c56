#include "test_cluster.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using nlohmann::json;

namespace {

json json_body(const base::result<http::response>& answer) {
    BOOST_REQUIRE_MESSAGE(answer.has_value(), (answer.has_value() ? std::string() : answer.error().message));
    return json::parse(answer->body);
}

} // namespace

BOOST_AUTO_TEST_SUITE(path)

// Guards against an incomplete response of a multi-stage pipeline through any of the entry VMs.
BOOST_AUTO_TEST_CASE(a_request_is_answered_through_each_daemon) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    for (std::size_t n = 0; n < 3; ++n) {
        const std::string identity = "flight-" + std::to_string(n);
        const base::result<http::response> answer =
            cluster.run(n, "plan", R"({"input":{"identity":")" + identity + R"("},"max_tokens":5})", "",
                        "path-" + identity);
        const json body = json_body(answer);
        BOOST_TEST(answer->status == 200);
        BOOST_TEST(body.at("stages").size() == 3U);
        BOOST_TEST(body.at("output").get<std::string>().starts_with(identity));
        const json events = cluster.get(cluster.operator_address(n), "/v1/timeline?request=path-" + identity);
        BOOST_TEST(events.at("events").size() >= 8U);
    }
}

// Guards against a stream with a missing or repeated token, or without its end marker.
BOOST_AUTO_TEST_CASE(a_stream_carries_each_token_once) {
    test_cluster cluster(2);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    const std::string request = R"({"input":{"identity":"menu-1"},"max_tokens":20)";
    const json unstreamed_body = json_body(cluster.run(0, "plan", request + "}"));
    const base::result<http::response> stream_response =
        cluster.run(1, "plan", request + R"(,"stream":true})");
    BOOST_REQUIRE(stream_response.has_value());
    BOOST_TEST(stream_response->body.ends_with("data: [DONE]\n\n"));
    std::string text;
    std::size_t position = 0;
    while ((position = stream_response->body.find("data: {", position)) != std::string::npos) {
        position += std::string("data: ").size();
        const json chunk = json::parse(
            stream_response->body.substr(position, stream_response->body.find('\n', position) - position));
        text += chunk.value("text", "");
    }
    BOOST_TEST(text == unstreamed_body.at("output").get<std::string>());
}

// Guards against invalid requests that are served, break the daemon or get an unspecific response.
BOOST_AUTO_TEST_CASE(bad_requests_are_answered_and_harm_nothing) {
    test_cluster cluster(1);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    BOOST_TEST(json_body(cluster.run(0, "plan", "{")).at("outcome") == "not_run");
    BOOST_TEST(cluster.run(0, "nothing", R"({"input":1})")->status == 404);
    BOOST_TEST(json_body(cluster.run(0, "book", R"({"input":1})")).at("type") ==
               "urn:rattanbay:problem:idempotency_key_required");
    BOOST_TEST(json_body(cluster.run(0, "book", R"({"input":1})", "my-own-key")).at("type") ==
               "urn:rattanbay:problem:invalid_idempotency_key");
    http::request late{"POST", "/v1/pipelines/encode/runs", {}, R"({"input":1})"};
    late.fields.add("Authorization", "Bearer planner-token");
    late.fields.add("X-Request-Deadline-Ms", "0");
    BOOST_TEST(json_body(cluster.exchange(cluster.caller_address(0), late)).at("type") ==
               "urn:rattanbay:problem:deadline_exceeded");
    http::request unknown{
        "POST", "/v1/pipelines/encode/runs", {{"Authorization", "Bearer nobody"}}, R"({"input":1})"};
    BOOST_TEST(cluster.exchange(cluster.caller_address(0), unknown)->status == 401);
    BOOST_TEST(cluster.run(0, "encode", R"({"input":1})")->status == 200);
}

// Guards against a stack overflow caused by a deeply nested body, also from a caller without a token, and
// against parsing the body of an unauthenticated caller.
BOOST_AUTO_TEST_CASE(a_body_nested_too_deep_is_refused) {
    test_cluster cluster(1);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    constexpr std::size_t levels = 100'000;
    const std::string body = "{\"input\":" + std::string(levels, '[') + std::string(levels, ']') + "}";
    http::request unknown{"POST", "/v1/pipelines/encode/runs", {}, body};
    BOOST_TEST(cluster.exchange(cluster.caller_address(0), unknown)->status == 401);
    const base::result<http::response> known = cluster.run(0, "encode", body);
    BOOST_TEST(json_body(known).at("outcome") == "not_run");
    BOOST_TEST(known->status == 400);
    BOOST_TEST(cluster.run(0, "encode", R"({"input":1})")->status == 200);
}

// Guards against a new document that is not adopted by every daemon, including one whose platform connection
// fails.
BOOST_AUTO_TEST_CASE(a_new_document_comes_into_force_everywhere) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    cluster.publish_document(2);
    BOOST_TEST(cluster.wait_until_ready(2));
}

// Guards against a daemon that cannot start from its peers while the platform is down.
BOOST_AUTO_TEST_CASE(a_daemon_starts_while_the_platform_is_down) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    cluster.destroy_daemon(2);
    cluster.platform->set_fault({emulator::platform_fault_mode::down, {}});
    cluster.start_daemon(2);
    BOOST_TEST(test_cluster::wait_until([&cluster]() {
        const base::result<http::response> answer =
            cluster.run(2, "encode", R"({"input":{"identity":"late"}})");
        return answer && answer->status == 200;
    }));
}

// Guards against a planned stop that interrupts a stream or a request, and against a stopping daemon that
// remains in the entry lists.
BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_off_nothing) {
    test_cluster cluster(3);
    BOOST_REQUIRE(cluster.wait_until_ready(1));
    base::result<http::response> stream_response = base::fail(base::error_code::unavailable, "not sent");
    std::thread caller([&cluster, &stream_response]() {
        stream_response =
            cluster.run(0, "plan", R"({"input":{"identity":"long"},"max_tokens":400,"stream":true})");
    });
    BOOST_TEST(test_cluster::wait_until([&cluster]() { return cluster.status(0).at("requests") > 0; }));
    cluster.daemon(0).drain();
    BOOST_TEST(test_cluster::wait_until([&cluster]() {
        for (const json& row : cluster.get(cluster.caller_address(1), "/v1/entries").at("entries")) {
            if (row.at("address") == cluster.caller_address(0).text()) {
                return false;
            }
        }
        return true;
    }));
    // Callers that still use a cached entry list are served.
    BOOST_TEST(cluster.run(0, "encode", R"({"input":1})")->status == 200);
    cluster.daemon(0).wait();
    caller.join();
    BOOST_REQUIRE(stream_response.has_value());
    BOOST_TEST(stream_response->body.ends_with("data: [DONE]\n\n"));
    BOOST_TEST(!cluster.run(0, "encode", R"({"input":1})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
