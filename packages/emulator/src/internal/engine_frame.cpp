#include "engine_frame.hpp"

#include "clock.hpp"
#include "endpoint_json.hpp"
#include "faulty_responder.hpp"

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::string_view resume_suffix = "/resume";
/// Maximum time without data on a waiting stream; section 5 of the design page relies on it.
constexpr base::duration keep_alive_interval = std::chrono::milliseconds(250);
constexpr const char* keep_alive_comment = ": keep-alive\n\n";

} // namespace

engine_server::engine_server(const engine_options& options)
    : endpoint_server(options)
    , timing_(options.timing)
    , random_default_seed_(options.random_default_seed)
    , streams_(engine_id(options), options.resume_retention)
    , orders_(options.checks_fencing)
    , default_seeds_(options.seed) {}

order_log engine_server::orders() const {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    return orders_;
}

std::optional<http::response> engine_server::handle_control(const http::request& message) {
    if (message.method == "GET" && http::target_path(message.target) == "/v1/orders") {
        return orders_response(orders());
    }
    return std::nullopt;
}

asio::awaitable<void> engine_server::handle_call(const http::request& message, faulty_responder& out) {
    const std::string path(http::target_path(message.target));
    http::response answer = endpoint_error_response(404, "no such call");
    if (message.method == "POST" && path == "/v1/completions") {
        co_await handle_completion(message, out);
        co_return;
    }
    if (message.method == "POST" && path.starts_with(streams_path) && path.ends_with(resume_suffix)) {
        const std::size_t size = path.size() - streams_path.size() - resume_suffix.size();
        std::string stream = path.substr(streams_path.size(), size);
        co_await handle_resume(std::move(stream), message, out);
        co_return;
    }
    if (message.method == "DELETE" && path.starts_with(streams_path)) {
        answer = handle_cancel(path.substr(streams_path.size()));
    } else if (message.method == "POST" && path == "/v1/orders") {
        answer = handle_order(message);
    }
    co_await out.send(std::move(answer));
}

asio::awaitable<void> engine_server::handle_completion(const http::request& message, faulty_responder& out) {
    base::result<completion_call> call = parse_completion(message.body);
    if (!call) {
        http::response malformed = endpoint_error_response(400, call.error().message);
        co_await out.send(std::move(malformed));
        co_return;
    }
    stream_cursor cursor = open_stream(*call);
    if (call->stream) {
        co_await send_stream(std::move(cursor), out);
    } else {
        co_await send_completion(std::move(cursor), call->model, out);
    }
}

asio::awaitable<void> engine_server::handle_resume(std::string stream, const http::request& message,
                                                   faulty_responder& out) {
    const base::result<std::uint64_t> after = parse_after(message.body);
    if (!after) {
        http::response malformed = endpoint_error_response(400, after.error().message);
        co_await out.send(std::move(malformed));
        co_return;
    }
    base::result<stream_cursor> cursor = base::fail(base::error_code::not_found, "");
    {
        const std::lock_guard<std::mutex> lock(engine_mutex_);
        cursor = streams_.resume(stream, *after, now());
    }
    if (!cursor) {
        const int status = cursor.error().code == base::error_code::not_found ? 404 : 409;
        http::response refused = endpoint_error_response(status, cursor.error().message);
        co_await out.send(std::move(refused));
        co_return;
    }
    co_await send_stream(std::move(*cursor), out);
}

http::response engine_server::handle_cancel(const std::string& stream) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    const base::result<std::uint64_t> generated = streams_.cancel(stream);
    if (!generated) {
        return endpoint_error_response(404, generated.error().message);
    }
    return http::json_response(200, nlohmann::json{{"id", stream}, {"generated", *generated}}.dump());
}

http::response engine_server::handle_order(const http::request& message) {
    base::result<accepted_order> parsed = parse_order(message.body);
    if (!parsed) {
        return endpoint_error_response(400, parsed.error().message);
    }
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    const base::result<void> added = orders_.add(std::move(*parsed));
    if (!added) {
        return endpoint_error_response(409, added.error().message);
    }
    return http::json_response(200, nlohmann::json{{"fence", orders_.highest_fence()}}.dump());
}

asio::awaitable<void> engine_server::send_completion(stream_cursor cursor, std::string model,
                                                     faulty_responder& out) {
    std::string text;
    std::uint64_t tokens = 0;
    {
        const slot_queue::ticket call = enqueue_call(cursor.priority);
        const scope_exit guard([this, call]() { release_slot(call); });
        wait_result state = co_await wait_until_running(call, cursor, nullptr);
        while (state == wait_result::ready) {
            state = co_await wait_for_token(cursor, nullptr);
            if (state == wait_result::ended) {
                break;
            }
            const base::result<std::optional<generated_token>> token = next_token(cursor);
            if (!token) {
                state = wait_result::ended;
            } else if (!token->has_value()) {
                break;
            } else {
                text += (*token)->text;
                ++tokens;
            }
        }
        if (state == wait_result::ended) {
            out.abort();
            co_return;
        }
    }
    http::response answer = completion_response(cursor.stream, model, text, tokens);
    co_await out.send(std::move(answer));
}

asio::awaitable<void> engine_server::send_stream(stream_cursor cursor, faulty_responder& out) {
    const bool started = co_await out.begin_stream();
    if (!started) {
        co_return;
    }
    const slot_queue::ticket call = enqueue_call(cursor.priority);
    const scope_exit guard([this, call]() { release_slot(call); });
    wait_result state = co_await wait_until_running(call, cursor, &out);
    while (state == wait_result::ready) {
        state = co_await wait_for_token(cursor, &out);
        if (state == wait_result::ended) {
            break;
        }
        const base::result<std::optional<generated_token>> token = next_token(cursor);
        if (!token) {
            break;
        }
        const bool last = !token->has_value();
        std::string chunk = last ? "data: [DONE]\n\n" : token_event(cursor.stream, **token);
        const bool sent = co_await out.write(std::move(chunk));
        if (!sent) {
            co_return;
        }
        if (last) {
            co_await out.end_stream();
            co_return;
        }
    }
    out.abort();
}

asio::awaitable<engine_server::wait_result>
engine_server::wait_until_running(slot_queue::ticket call, stream_cursor cursor, faulty_responder* stream) {
    bool has_slot = co_await wait_for_slot(call, keep_alive_interval);
    while (!has_slot) {
        const bool is_open = co_await send_keep_alive(stream);
        if (!is_open || !touch(cursor)) {
            co_return wait_result::ended;
        }
        has_slot = co_await wait_for_slot(call, keep_alive_interval);
    }
    co_return touch(cursor) ? wait_result::ready : wait_result::ended;
}

asio::awaitable<engine_server::wait_result> engine_server::wait_with_keep_alive(base::duration wait,
                                                                                faulty_responder* stream) {
    while (wait > keep_alive_interval) {
        co_await sleep_for(keep_alive_interval);
        wait -= keep_alive_interval;
        const bool is_open = co_await send_keep_alive(stream);
        if (!is_open) {
            co_return wait_result::ended;
        }
    }
    co_await sleep_for(wait);
    co_return killed() ? wait_result::ended : wait_result::ready;
}

asio::awaitable<engine_server::wait_result> engine_server::wait_for_token(stream_cursor cursor,
                                                                          faulty_responder* stream) {
    {
        const std::lock_guard<std::mutex> lock(engine_mutex_);
        if (!streams_.is_current(cursor)) {
            co_return wait_result::ended;
        }
        if (streams_.can_deliver_now(cursor)) {
            co_return wait_result::ready;
        }
    }
    const base::duration wait =
        cursor.next == 0 ? timing_.time_to_first_token : timing_.token_interval(running_calls());
    co_return co_await wait_with_keep_alive(wait, stream);
}

asio::awaitable<bool> engine_server::send_keep_alive(faulty_responder* stream) {
    if (killed()) {
        co_return false;
    }
    if (stream == nullptr) {
        co_return true;
    }
    std::string comment = keep_alive_comment;
    co_return co_await stream->write(std::move(comment));
}

bool engine_server::touch(const stream_cursor& cursor) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    streams_.touch(cursor, now());
    return streams_.is_current(cursor);
}

base::result<std::optional<generated_token>> engine_server::next_token(stream_cursor& cursor) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    return streams_.next_token(cursor, now());
}

stream_cursor engine_server::open_stream(completion_call& call) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    const std::uint64_t default_seed = random_default_seed_ ? default_seeds_.bits() : 0;
    call.request.seed = call.seed.value_or(default_seed);
    return streams_.open(call.request, now());
}

} // namespace rattanbay::emulator::internal
