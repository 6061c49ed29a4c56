#include "fixture.hpp"

#include <rattanbay/emulator.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using namespace std::chrono_literals;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(endpoint_call)

// Guards against an output that cannot be distinguished from another request's output.
BOOST_FIXTURE_TEST_CASE(outputs_carry_the_identity_of_their_input, loopback) {
    emulator::worker_options options;
    options.address = free_address();
    options.role = emulator::worker_role::rerank;
    options.service_time = 1ms;
    const auto service = emulator::worker_pool::start(context, options).value();
    const json encoded = emulator::worker_output(emulator::worker_role::encode, "query 1");
    BOOST_TEST(encoded["identity"] == emulator::identity_of("query 1"));
    BOOST_TEST(encoded["identity"] != emulator::identity_of("query 2"));
    http::request message{"POST", "/v1/call", {{"X-Attempt-Id", "r/1/2"}}, json{{"input", encoded}}.dump()};
    const base::result<http::response> answer = exchange(options.address, std::move(message));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->fields.find("X-Attempt-Id").value_or("") == "r/1/2");
    const json output = json::parse(answer->body)["output"];
    BOOST_TEST(output == emulator::worker_output(emulator::worker_role::rerank, encoded));
    BOOST_TEST(output["identity"] == encoded["identity"]);
    BOOST_TEST(call(options.address, "POST", "/v1/call", "{}").first == 400);
}

// Guards against a plain service that deduplicates calls, which would hide repeated executions.
BOOST_FIXTURE_TEST_CASE(executions_are_counted_and_not_deduplicated, loopback) {
    emulator::plain_options options;
    options.address = free_address();
    options.service_time = 1ms;
    const auto service = emulator::plain_service::start(context, options).value();
    for (const char* attempt : {"r/0/1", "r/0/2"}) {
        const http::fields fields{{"Idempotency-Key", "p.order-0001"}, {"X-Attempt-Id", attempt}};
        BOOST_TEST(call(options.address, "POST", "/v1/call", R"({"input":1})", fields).first == 200);
    }
    const json counts = call(options.address, "GET", "/v1/executions").second;
    BOOST_TEST(counts["executions"] == json::parse(R"([{"key":"p.order-0001","count":2}])"));
    BOOST_TEST(counts["attempts"].size() == 2);
}

// Guards against leaving endpoints that do not announce it.
BOOST_FIXTURE_TEST_CASE(a_leaving_endpoint_announces_it, loopback) {
    emulator::worker_options options;
    options.address = free_address();
    options.service_time = 1ms;
    const auto service = emulator::worker_pool::start(context, options).value();
    http::request message{"POST", "/v1/call", {}, R"({"input":1})"};
    BOOST_TEST(!exchange(options.address, message)->fields.find("X-Endpoint-State").has_value());
    BOOST_TEST(call(options.address, "POST", "/v1/leave", R"({"leaving":true})").first == 200);
    BOOST_TEST(exchange(options.address, message)->fields.find("X-Endpoint-State").value_or("") == "leaving");
}

// Guards against waiting calls that overtake calls of a higher priority.
BOOST_AUTO_TEST_CASE(slots_go_to_the_highest_priority) {
    emulator::slot_queue slots(1);
    const auto first = slots.enqueue(0);
    const auto low = slots.enqueue(0);
    const auto high = slots.enqueue(5);
    const auto later = slots.enqueue(5);
    BOOST_TEST(slots.is_running(first));
    BOOST_TEST(slots.waiting() == 3);
    slots.release(first);
    BOOST_TEST(slots.is_running(high));
    slots.release(later);
    slots.release(high);
    BOOST_TEST(slots.is_running(low));
    slots.release(low);
    BOOST_TEST(slots.running() == 0);
}

// Guards against load reports that are more recent than those of real endpoints.
BOOST_AUTO_TEST_CASE(load_reports_lag) {
    emulator::load_history load(500ms);
    const base::time_point start{1000s};
    for (std::size_t n = 0; n <= 100; ++n) {
        load.record({start + n * 100ms, n, 2 * n});
    }
    const emulator::load_sample report = load.report(start + 10s);
    BOOST_TEST(report.running == 95);
    BOOST_TEST(report.waiting == 190);
    BOOST_CHECK(report.at == start + 9500ms);
    BOOST_TEST(emulator::load_history(500ms).report(start).running == 0);
}

BOOST_AUTO_TEST_SUITE_END()
