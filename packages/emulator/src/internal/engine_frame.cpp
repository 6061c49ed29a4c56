#include "engine_frame.hpp"

#include "clock.hpp"
#include "endpoint_json.hpp"
#include "faulty_responder.hpp"

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

namespace {

constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::string_view resume_suffix = "/resume";
/// Longest time that a waiting stream sends nothing; section 5 of the design page relies on it.
constexpr base::duration keep_alive_interval = std::chrono::milliseconds(250);
constexpr const char* keep_alive_comment = ": keep-alive\n\n";

} // namespace

engine_frame::engine_frame(const engine_options& options)
    : endpoint_frame(options)
    , timing_(options.timing)
    , varies_without_seed_(options.varies_without_seed)
    , streams_(engine_name(options), options.resume_retention)
    , orders_(options.checks_fencing)
    , seeds_(options.seed) {}

order_log engine_frame::orders() const {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    return orders_;
}

std::optional<http::response> engine_frame::answer_control(const http::request& message) {
    if (message.method == "GET" && http::target_path(message.target) == "/v1/orders") {
        return orders_body(orders());
    }
    return std::nullopt;
}

asio::awaitable<void> engine_frame::serve(const http::request& message, faulty_responder& out) {
    const std::string path(http::target_path(message.target));
    http::response answer = error_body(404, "no such call");
    if (message.method == "POST" && path == "/v1/completions") {
        co_await complete(message, out);
        co_return;
    }
    if (message.method == "POST" && path.starts_with(streams_path) && path.ends_with(resume_suffix)) {
        const std::size_t size = path.size() - streams_path.size() - resume_suffix.size();
        std::string stream = path.substr(streams_path.size(), size);
        co_await resume(std::move(stream), message, out);
        co_return;
    }
    if (message.method == "DELETE" && path.starts_with(streams_path)) {
        answer = cancel(path.substr(streams_path.size()));
    } else if (message.method == "POST" && path == "/v1/orders") {
        answer = order(message);
    }
    co_await out.send(std::move(answer));
}

asio::awaitable<void> engine_frame::complete(const http::request& message, faulty_responder& out) {
    base::result<completion_call> call = parse_completion(message.body);
    if (!call) {
        http::response malformed = error_body(400, call.error().message);
        co_await out.send(std::move(malformed));
        co_return;
    }
    engine_attachment attachment = open(*call);
    if (call->stream) {
        co_await answer_stream(std::move(attachment), out);
    } else {
        co_await answer_whole(std::move(attachment), call->model, out);
    }
}

asio::awaitable<void> engine_frame::resume(std::string stream, const http::request& message,
                                           faulty_responder& out) {
    const base::result<std::uint64_t> after = parse_after(message.body);
    if (!after) {
        http::response malformed = error_body(400, after.error().message);
        co_await out.send(std::move(malformed));
        co_return;
    }
    base::result<engine_attachment> attachment = base::fail(base::error_code::not_found, "");
    {
        const std::lock_guard<std::mutex> lock(engine_mutex_);
        attachment = streams_.resume(stream, *after, now());
    }
    if (!attachment) {
        const int status = attachment.error().code == base::error_code::not_found ? 404 : 409;
        http::response refused = error_body(status, attachment.error().message);
        co_await out.send(std::move(refused));
        co_return;
    }
    co_await answer_stream(std::move(*attachment), out);
}

http::response engine_frame::cancel(const std::string& stream) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    const base::result<std::uint64_t> generated = streams_.cancel(stream);
    if (!generated) {
        return error_body(404, generated.error().message);
    }
    return http::json_response(200, nlohmann::json{{"id", stream}, {"generated", *generated}}.dump());
}

http::response engine_frame::order(const http::request& message) {
    base::result<accepted_order> parsed = parse_order(message.body);
    if (!parsed) {
        return error_body(400, parsed.error().message);
    }
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    const base::result<void> added = orders_.add(std::move(*parsed));
    if (!added) {
        return error_body(409, added.error().message);
    }
    return http::json_response(200, nlohmann::json{{"fence", orders_.highest_fence()}}.dump());
}

asio::awaitable<void> engine_frame::answer_whole(engine_attachment attachment, std::string model,
                                                 faulty_responder& out) {
    std::string text;
    std::uint64_t tokens = 0;
    {
        const slot_queue::ticket call = enter(attachment.priority);
        const scoped_leave guard([this, call]() { leave(call); });
        progress state = co_await wait_for_turn(call, attachment, nullptr);
        while (state == progress::ready) {
            state = co_await pause_for_token(attachment, nullptr);
            if (state == progress::ended) {
                break;
            }
            const base::result<std::optional<engine_token>> token = deliver(attachment);
            if (!token) {
                state = progress::ended;
            } else if (!token->has_value()) {
                break;
            } else {
                text += (*token)->text;
                ++tokens;
            }
        }
        if (state == progress::ended) {
            out.abort();
            co_return;
        }
    }
    http::response answer = completion_body(attachment.stream, model, text, tokens);
    co_await out.send(std::move(answer));
}

asio::awaitable<void> engine_frame::answer_stream(engine_attachment attachment, faulty_responder& out) {
    const bool begun = co_await out.begin_stream();
    if (!begun) {
        co_return;
    }
    const slot_queue::ticket call = enter(attachment.priority);
    const scoped_leave guard([this, call]() { leave(call); });
    progress state = co_await wait_for_turn(call, attachment, &out);
    while (state == progress::ready) {
        state = co_await pause_for_token(attachment, &out);
        if (state == progress::ended) {
            break;
        }
        const base::result<std::optional<engine_token>> token = deliver(attachment);
        if (!token) {
            break;
        }
        const bool last = !token->has_value();
        std::string piece = last ? "data: [DONE]\n\n" : token_event(attachment.stream, **token);
        const bool sent = co_await out.write(std::move(piece));
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

asio::awaitable<engine_frame::progress>
engine_frame::wait_for_turn(slot_queue::ticket call, engine_attachment attachment, faulty_responder* stream) {
    bool runs = co_await wait_for_slot(call, keep_alive_interval);
    while (!runs) {
        const bool open = co_await keep_alive(stream);
        if (!open || !still_attached(attachment)) {
            co_return progress::ended;
        }
        runs = co_await wait_for_slot(call, keep_alive_interval);
    }
    co_return still_attached(attachment) ? progress::ready : progress::ended;
}

asio::awaitable<engine_frame::progress> engine_frame::pause(base::duration wait, faulty_responder* stream) {
    while (wait > keep_alive_interval) {
        co_await sleep_for(keep_alive_interval);
        wait -= keep_alive_interval;
        const bool open = co_await keep_alive(stream);
        if (!open) {
            co_return progress::ended;
        }
    }
    co_await sleep_for(wait);
    co_return killed() ? progress::ended : progress::ready;
}

asio::awaitable<engine_frame::progress> engine_frame::pause_for_token(engine_attachment attachment,
                                                                      faulty_responder* stream) {
    {
        const std::lock_guard<std::mutex> lock(engine_mutex_);
        if (!streams_.attached(attachment)) {
            co_return progress::ended;
        }
        if (streams_.ready(attachment)) {
            co_return progress::ready;
        }
    }
    const base::duration wait = attachment.next == 0 ? timing_.first_token : timing_.token_time(running());
    co_return co_await pause(wait, stream);
}

asio::awaitable<bool> engine_frame::keep_alive(faulty_responder* stream) {
    if (killed()) {
        co_return false;
    }
    if (stream == nullptr) {
        co_return true;
    }
    std::string comment = keep_alive_comment;
    co_return co_await stream->write(std::move(comment));
}

bool engine_frame::still_attached(const engine_attachment& attachment) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    streams_.renew(attachment, now());
    return streams_.attached(attachment);
}

base::result<std::optional<engine_token>> engine_frame::deliver(engine_attachment& attachment) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    return streams_.deliver(attachment, now());
}

engine_attachment engine_frame::open(completion_call& call) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    const std::uint64_t unseeded = varies_without_seed_ ? seeds_.bits() : 0;
    call.request.seed = call.seed.value_or(unseeded);
    return streams_.open(call.request, now());
}

} // namespace rattanbay::emulator::internal
