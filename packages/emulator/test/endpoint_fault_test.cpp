#include "fixture.hpp"

#include <rattanbay/emulator.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace emulator = rattanbay::emulator;
namespace http = rattanbay::http;
using namespace std::chrono_literals;

namespace {

struct fixture : loopback {
    fixture() {
        options.address = free_address();
        options.service_time = 1ms;
        service = emulator::plain_service::start(context, options).value();
    }

    /// Returns the error code of a call on a new connection, or `std::nullopt` if it was answered.
    std::optional<base::error_code> call_error(const std::string& key) {
        // A request on a pooled connection would be sent again if that connection broke.
        pool.close_idle(options.address);
        http::request message{"POST", "/v1/call", {{"Idempotency-Key", key}}, R"({"input":{"order":7}})"};
        const base::result<http::response> answer = exchange(options.address, std::move(message));
        return answer ? std::nullopt : std::optional(answer.error().code);
    }

    std::uint64_t executions(const std::string& key) {
        const emulator::execution_counts counts = service->executions();
        const auto it = counts.by_key().find(key);
        return it == counts.by_key().end() ? 0 : it->second;
    }

    emulator::plain_options options;
    std::unique_ptr<emulator::plain_service> service;
};

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_fault)

// Guards against a fault that executes calls it should not execute, or the reverse. Either would
// make at-most-once tests pass or fail for the wrong reason.
BOOST_FIXTURE_TEST_CASE(work_runs_only_under_faults_that_execute_calls, fixture) {
    service->set_fault({emulator::endpoint_fault_mode::error, 0ms, 1.0});
    BOOST_TEST(call_error("error").has_value() == false);
    BOOST_TEST(executions("error") == 0);
    service->set_fault({emulator::endpoint_fault_mode::cut, 0ms, 1.0});
    BOOST_CHECK(call_error("cut") == base::error_code::connection_broken);
    BOOST_TEST(executions("cut") == 1);
    service->set_fault({emulator::endpoint_fault_mode::late, 600ms, 1.0});
    limits.response_header = 300ms;
    BOOST_CHECK(call_error("late") == base::error_code::timed_out);
    BOOST_TEST(executions("late") == 1);
    service->set_fault({emulator::endpoint_fault_mode::none, 0ms, 1.0});
    limits.response_header = 2s;
    BOOST_TEST(call_error("none").has_value() == false);
    BOOST_TEST(executions("none") == 1);
}

// Guards against the fault `silent` affecting new connections or sparing open ones.
BOOST_FIXTURE_TEST_CASE(only_open_connections_go_silent, fixture) {
    BOOST_TEST(call_error("first").has_value() == false);
    std::unique_ptr<http::client_connection> open = pool.acquire(options.address);
    BOOST_REQUIRE(open);
    BOOST_TEST(call(options.address, "POST", "/v1/faults", R"({"mode":"silent"})").first == 200);
    BOOST_TEST(call_error("new connection").has_value() == false);
    const auto use_open = [&open]() -> boost::asio::awaitable<base::result<http::response_header>> {
        http::request message{"POST", "/v1/call", {{"Idempotency-Key", "open"}}, R"({"input":1})"};
        co_await open->send(std::move(message), 1s);
        co_return co_await open->read_header(200ms);
    };
    const auto head = boost::asio::co_spawn(context, use_open(), boost::asio::use_future).get();
    BOOST_REQUIRE(!head.has_value());
    BOOST_CHECK(head.error().code == base::error_code::timed_out);
    BOOST_TEST(executions("open") == 0);
}

// Guards against a wrong length that a client accepts as a complete response on a reusable
// connection.
BOOST_FIXTURE_TEST_CASE(a_wrong_length_leaves_bytes_over, fixture) {
    service->set_fault({emulator::endpoint_fault_mode::wrong_length, 0ms, 1.0});
    http::request message{"POST", "/v1/call", {}, R"({"input":1})"};
    const base::result<http::response> answer = exchange(options.address, std::move(message));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!nlohmann::json::accept(answer->body));
    BOOST_CHECK(pool.acquire(options.address) == nullptr);
}

// Guards against a stopped endpoint that aborts calls in progress and a killed one that answers
// them.
BOOST_FIXTURE_TEST_CASE(stop_answers_calls_in_progress_and_kill_does_not, fixture) {
    service->set_fault({emulator::endpoint_fault_mode::late, 300ms, 1.0});
    const auto begin_call = [this](const std::string& key) {
        http::request message{"POST", "/v1/call", {{"Idempotency-Key", key}}, R"({"input":1})"};
        auto waiting = begin(options.address, std::move(message));
        while (executions(key) == 0) {
            std::this_thread::yield();
        }
        return waiting;
    };
    auto kept = begin_call("kept");
    service->stop();
    BOOST_TEST(kept.get().has_value());
    options.address = free_address();
    service = emulator::plain_service::start(context, options).value();
    service->set_fault({emulator::endpoint_fault_mode::late, 300ms, 1.0});
    auto lost = begin_call("lost");
    service->kill();
    BOOST_TEST(!lost.get().has_value());
}

// Guards against faults that are not reproducible from the seed.
BOOST_AUTO_TEST_CASE(draws_repeat_with_the_seed) {
    emulator::fault_injector first(5);
    emulator::fault_injector second(5);
    int applied = 0;
    for (emulator::fault_injector* plan : {&first, &second}) {
        plan->set({emulator::endpoint_fault_mode::error, 0ms, 0.3}, 0);
    }
    for (int n = 0; n < 1000; ++n) {
        const emulator::endpoint_fault_mode mode = first.draw().mode;
        BOOST_CHECK(mode == second.draw().mode);
        applied += mode == emulator::endpoint_fault_mode::error ? 1 : 0;
    }
    BOOST_TEST(applied > 200);
    BOOST_TEST(applied < 400);
}

BOOST_AUTO_TEST_SUITE_END()
