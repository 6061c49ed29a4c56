#include "caller_call.hpp"

#include "clock.hpp"
#include "completion_reader.hpp"

#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

using json = nlohmann::json;

constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
constexpr base::duration connect_limit = std::chrono::milliseconds(300);
constexpr int ok_status = 200;

/// Time that the next step may take.
base::duration step_limit(const caller_call& call) {
    const base::duration left = call.give_up_at - now();
    constexpr base::duration shortest = std::chrono::milliseconds(1);
    return std::max(shortest, std::min(call.silence_limit, left));
}

/// Output member of a whole answer; null when there is none.
json output_of(const std::string& body) {
    const json document = json::parse(body, nullptr, false);
    const json::json_pointer text("/choices/0/text");
    if (document.is_object() && document.contains("output")) {
        return document["output"];
    }
    return document.is_object() && document.contains(text) ? document[text] : json();
}

request_event refusal_of(const std::string& body) {
    const std::optional<problem_report> problem = problem_report::parse(body);
    return problem ? request_event(request_refused{*problem}) : request_event(request_broken{});
}

asio::awaitable<call_result> read_stream(http::client_connection& connection, const caller_call& call,
                                         call_result result) {
    completion_reader reader;
    while (true) {
        const base::result<std::string> piece = co_await connection.read_some(step_limit(call));
        if (!piece || now() >= call.give_up_at) {
            co_return result;
        }
        if (piece->empty()) {
            break;
        }
        reader.feed(*piece);
        if (reader.begun() && !result.first_token) {
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

asio::awaitable<call_result> read_answer(http::client_connection& connection, const caller_call& call,
                                         http::response_header head) {
    call_result result;
    result.event = request_broken{};
    result.request_id = head.fields.find("X-Request-Id");
    if (head.status == ok_status && call.stream) {
        co_return co_await read_stream(connection, call, std::move(result));
    }
    const base::result<std::string> body =
        co_await http::read_body(connection, step_limit(call), max_answer_bytes);
    if (!body) {
        co_return result;
    }
    if (head.status == ok_status) {
        result.event = request_succeeded{};
        result.output = output_of(*body);
    } else {
        result.event = refusal_of(*body);
    }
    co_return result;
}

/// The call on one connection; nothing when it broke before the head of an answer.
asio::awaitable<std::optional<call_result>> exchange(http::client_connection& connection,
                                                     const caller_call& call, bool& silent) {
    const base::result<void> sent = co_await connection.send(call.message, step_limit(call));
    if (!sent) {
        silent = sent.error().code == base::error_code::timed_out;
        co_return std::nullopt;
    }
    base::result<http::response_header> head = co_await connection.read_header(step_limit(call));
    if (!head) {
        silent = head.error().code == base::error_code::timed_out;
        co_return std::nullopt;
    }
    co_return co_await read_answer(connection, call, std::move(*head));
}

} // namespace

asio::awaitable<call_result> carry_out(http::connection_pool& pool, caller_call call) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    call_result broken;
    broken.event = request_broken{};
    bool silent = false;
    std::unique_ptr<http::client_connection> idle = pool.acquire(call.address);
    if (idle) {
        std::optional<call_result> result = co_await exchange(*idle, call, silent);
        if (result) {
            pool.release(std::move(idle));
            co_return std::move(*result);
        }
        pool.close_idle(call.address);
        if (silent) {
            co_return broken;
        }
    }
    base::result<std::unique_ptr<http::client_connection>> opened =
        co_await http::client_connection::connect(executor, call.address, connect_limit);
    if (!opened) {
        // A pooled connection may have carried a part of the request before it broke.
        broken.event = idle ? request_event(request_broken{}) : request_event(request_unsent{});
        co_return broken;
    }
    std::optional<call_result> result = co_await exchange(**opened, call, silent);
    if (!result) {
        co_return broken;
    }
    pool.release(std::move(*opened));
    co_return std::move(*result);
}

} // namespace rattanbay::emulator::internal
