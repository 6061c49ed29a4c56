#include "entry_call.hpp"

#include "clock.hpp"
#include "completion_reader.hpp"

#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

using json = nlohmann::json;

constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
constexpr base::duration connect_timeout = std::chrono::milliseconds(300);
constexpr int ok_status = 200;

/// Timeout of the next I/O operation.
base::duration step_timeout(const entry_call& call) {
    const base::duration remaining = call.wait_deadline - now();
    constexpr base::duration min_timeout = std::chrono::milliseconds(1);
    return std::max(min_timeout, std::min(call.inactivity_timeout, remaining));
}

/// Returns the output of a complete response; null if there is none.
json parse_output(const std::string& body) {
    const json document = json::parse(body, nullptr, false);
    const json::json_pointer text("/choices/0/text");
    if (document.is_object() && document.contains("output")) {
        return document["output"];
    }
    return document.is_object() && document.contains(text) ? document[text] : json();
}

request_event parse_refusal(const std::string& body) {
    const std::optional<problem_details> problem = problem_details::parse(body);
    return problem ? request_event(request_refused{*problem}) : request_event(response_lost{});
}

asio::awaitable<call_result> read_stream(http::client_connection& connection, const entry_call& call,
                                         call_result result) {
    completion_reader reader;
    while (true) {
        const base::result<std::string> chunk = co_await connection.read_some(step_timeout(call));
        if (!chunk || now() >= call.wait_deadline) {
            co_return result;
        }
        if (chunk->empty()) {
            break;
        }
        reader.feed(*chunk);
        if (reader.has_tokens() && !result.first_token) {
            result.first_token = now();
        }
    }
    if (reader.problem()) {
        result.event = request_refused{*reader.problem()};
    } else if (reader.done() && !reader.malformed()) {
        result.event = request_succeeded{};
        result.output = reader.text();
    }
    co_return result;
}

asio::awaitable<call_result> read_answer(http::client_connection& connection, const entry_call& call,
                                         http::response_header head) {
    call_result result;
    result.event = response_lost{};
    result.request_id = head.fields.find("X-Request-Id");
    if (head.status == ok_status && call.stream) {
        co_return co_await read_stream(connection, call, std::move(result));
    }
    const base::result<std::string> body =
        co_await http::read_body(connection, step_timeout(call), max_answer_bytes);
    if (!body) {
        co_return result;
    }
    if (head.status == ok_status) {
        result.event = request_succeeded{};
        result.output = parse_output(*body);
    } else {
        result.event = parse_refusal(*body);
    }
    co_return result;
}

/// Performs the call on one connection; `std::nullopt` if it failed before the response head.
asio::awaitable<std::optional<call_result>> exchange(http::client_connection& connection,
                                                     const entry_call& call, bool& timed_out) {
    const base::result<void> sent = co_await connection.send(call.message, step_timeout(call));
    if (!sent) {
        timed_out = sent.error().code == base::error_code::timed_out;
        co_return std::nullopt;
    }
    base::result<http::response_header> head = co_await connection.read_header(step_timeout(call));
    if (!head) {
        timed_out = head.error().code == base::error_code::timed_out;
        co_return std::nullopt;
    }
    co_return co_await read_answer(connection, call, std::move(*head));
}

} // namespace

asio::awaitable<call_result> perform_call(http::connection_pool& pool, entry_call call) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    call_result failure;
    failure.event = response_lost{};
    bool timed_out = false;
    std::unique_ptr<http::client_connection> pooled = pool.acquire(call.address);
    if (pooled) {
        std::optional<call_result> result = co_await exchange(*pooled, call, timed_out);
        if (result) {
            pool.release(std::move(pooled));
            co_return std::move(*result);
        }
        pool.close_idle(call.address);
        if (timed_out) {
            co_return failure;
        }
    }
    base::result<std::unique_ptr<http::client_connection>> opened =
        co_await http::client_connection::connect(executor, call.address, connect_timeout);
    if (!opened) {
        // Part of the request may have been sent on the pooled connection before it broke.
        failure.event = pooled ? request_event(response_lost{}) : request_event(connect_failed{});
        co_return failure;
    }
    std::optional<call_result> result = co_await exchange(**opened, call, timed_out);
    if (!result) {
        co_return failure;
    }
    pool.release(std::move(*opened));
    co_return std::move(*result);
}

} // namespace rattanbay::emulator::internal
