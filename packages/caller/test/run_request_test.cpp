#include <rattanbay/caller.hpp>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace base = rattanbay::base;
namespace caller = rattanbay::caller;
namespace http = rattanbay::http;

namespace {

http::request post(std::string target, std::string body, http::fields fields = {}) {
    return http::request{"POST", std::move(target), std::move(fields), std::move(body)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(run_request)

// Every member and header field of the API must be parsed.
BOOST_AUTO_TEST_CASE(both_api_formats_are_parsed) {
    const http::fields fields{{"authorization", "Bearer abc"},
                              {"x-request-deadline-ms", "1500"},
                              {"Idempotency-Key", "rb1.k"},
                              {"X-Request-Id", "r-1"}};
    const caller::run_request run =
        caller::parse_run_request(post("/v1/pipelines/plan/runs",
                                       R"({"input":{"flight":"PK1"},"stream":true,"max_tokens":5,"seed":9})",
                                       fields))
            .value();
    BOOST_TEST(run.pipeline.text() == "plan");
    BOOST_TEST(run.input == R"({"flight":"PK1"})");
    BOOST_TEST(run.streamed);
    BOOST_TEST(run.max_tokens == 5U);
    BOOST_TEST(run.seed.value() == 9U);
    BOOST_TEST(run.token == "abc");
    BOOST_TEST((run.deadline.value() == std::chrono::milliseconds(1500)));
    BOOST_TEST(run.idempotency_key.value() == "rb1.k");
    BOOST_TEST(run.id.text() == "r-1");
    const caller::run_request completion =
        caller::parse_run_request(post("/v1/completions?x=1", R"({"model":"plan","prompt":"hi"})")).value();
    BOOST_TEST(completion.pipeline.text() == "plan");
    BOOST_TEST(completion.input == R"("hi")");
    BOOST_TEST(completion.max_tokens == caller::default_max_tokens);
    BOOST_TEST(!completion.streamed);
}

// Malformed requests must be rejected completely, with the outcome `not_run`.
BOOST_AUTO_TEST_CASE(malformed_requests_are_rejected_with_a_reason) {
    const std::string run = "/v1/pipelines/plan/runs";
    const std::vector<std::pair<http::request, std::string>> cases{
        {post(run, "{"), "not valid JSON"},
        {post(run, "[1]"), "JSON object"},
        {post(run, "{}"), "'input' is missing"},
        {post(run, R"({"input":1,"streem":true})"), "'streem'"},
        {post(run, R"({"input":1,"stream":"yes"})"), "'stream'"},
        {post(run, R"({"input":1,"max_tokens":0})"), "'max_tokens'"},
        {post(run, R"({"input":1,"max_tokens":-4})"), "'max_tokens'"},
        {post("/v1/completions", R"({"prompt":"x"})"), "'model'"},
        {post(run, R"({"input":1})", {{"X-Request-Deadline-Ms", "-5"}}), "X-Request-Deadline-Ms"},
        {post(run, R"({"input":1})", {{"X-Request-Deadline-Ms", "5s"}}), "X-Request-Deadline-Ms"},
        {post(run, R"({"input":1})", {{"X-Request-Id", "a b"}}), "X-Request-Id"},
        {http::request{"GET", run, {}, ""}, "POST"},
    };
    for (const std::pair<http::request, std::string>& test_case : cases) {
        const tl::expected<caller::run_request, base::problem> parsed =
            caller::parse_run_request(test_case.first);
        BOOST_REQUIRE(!parsed.has_value());
        BOOST_TEST(parsed.error().detail.find(test_case.second) != std::string::npos, parsed.error().detail);
        BOOST_CHECK(parsed.error().outcome == base::outcome::not_run);
    }
    BOOST_TEST(!caller::is_run_request("/v1/pipelines//runs"));
    BOOST_TEST(!caller::is_run_request("/v1/entries"));
}

// Events must be neither lost nor merged, wherever the stream is split.
BOOST_AUTO_TEST_CASE(events_are_parsed_from_input_split_at_any_byte) {
    const std::string text = ": comment\r\n\r\ndata: {\"a\":1}\n\nevent: error\ndata: x\n\n" +
                             caller::format_event({"", "[DONE]"});
    const std::vector<caller::server_sent_event> expected{{"", "{\"a\":1}"}, {"error", "x"}, {"", "[DONE]"}};
    for (std::size_t size = 1; size <= text.size(); ++size) {
        caller::event_stream_parser parser;
        std::vector<caller::server_sent_event> events;
        for (std::size_t n = 0; n < text.size(); n += size) {
            for (caller::server_sent_event& event : parser.feed(std::string_view(text).substr(n, size))) {
                events.push_back(std::move(event));
            }
        }
        BOOST_CHECK(events == expected);
        BOOST_TEST(!parser.has_partial_event());
    }
}

// Problem documents must contain the members that clients evaluate.
BOOST_AUTO_TEST_CASE(problem_documents_state_the_outcome) {
    const base::problem problem{base::problem_kind::record_unavailable, base::outcome::not_run,
                                "bad \xff byte", "rb1-u"};
    const http::response response = caller::problem_response(problem, base::request_id("r-1"));
    const nlohmann::json body = nlohmann::json::parse(response.body);
    BOOST_TEST(response.status == 503);
    BOOST_TEST(response.fields.find("content-type").value() == "application/problem+json");
    BOOST_TEST(body.at("type") == "urn:rattanbay:problem:record_unavailable");
    BOOST_TEST(body.at("outcome") == "not_run");
    BOOST_TEST(body.at("retry_key_prefix") == "rb1-u");
    BOOST_TEST(body.at("request_id") == "r-1");
}

BOOST_AUTO_TEST_SUITE_END()
