#include "endpoint_frame.hpp"

#include "clock.hpp"
#include "endpoint_json.hpp"
#include "faulty_responder.hpp"

#include <boost/asio/this_coro.hpp>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

endpoint_frame::endpoint_frame(const endpoint_options& options)
    : options_(options)
    , faults_(options.seed)
    , slots_(options.concurrency)
    , load_(options.load_lag) {}

base::result<void> endpoint_frame::listen(asio::io_context& context) {
    const std::shared_ptr<endpoint_frame> self = shared_from_this();
    const http::request_handler handle_one = [self](const http::request& message, http::responder& out) {
        return self->handle(message, out);
    };
    const http::rejection_handler reject = [](const base::error& reason) {
        return error_body(reason.code == base::error_code::exhausted ? 413 : 400, reason.message);
    };
    const http::server_limits limits;
    const base::result<std::shared_ptr<http::server>> server =
        http::server::listen(context, options_.address, handle_one, reject, limits);
    if (!server) {
        return tl::unexpected<base::error>(server.error());
    }
    server_ = *server;
    return {};
}

void endpoint_frame::stop() {
    const std::shared_ptr<http::server> server = server_.lock();
    if (server) {
        server->shut_down();
    }
    stopped_ = true;
    slots_changed_.notify();
}

void endpoint_frame::kill() {
    killed_ = true;
    stop();
}

void endpoint_frame::set_fault(endpoint_fault fault) {
    const std::shared_ptr<http::server> server = server_.lock();
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_.set(fault, server ? server->last_connection_id() : 0);
}

void endpoint_frame::set_leaving(bool leaving) {
    leaving_ = leaving;
}

bool endpoint_frame::silent(std::uint64_t connection) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_.silent(connection);
}

asio::awaitable<void> endpoint_frame::hold(http::responder& out) {
    // A client that gave up is not noticed here, so that the connection is closed in the end.
    constexpr base::duration longest_hold = std::chrono::minutes(10);
    constexpr base::duration step = std::chrono::milliseconds(100);
    const base::time_point end = now() + longest_hold;
    while (!stopped_ && now() < end) {
        co_await sleep_for(step);
    }
    out.abort();
}

asio::awaitable<void> endpoint_frame::handle(const http::request& message, http::responder& out) {
    std::optional<http::response> control = answer_common(message);
    if (!control) {
        control = answer_control(message);
    }
    if (control) {
        co_await out.send(std::move(*control));
        co_return;
    }
    if (silent(out.connection_id())) {
        co_await hold(out);
        co_return;
    }
    endpoint_fault fault;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault = faults_.draw();
    }
    faulty_responder answer(*this, out, fault, message.fields.find("X-Attempt-Id"));
    if (fault.mode == endpoint_fault_mode::error) {
        http::response failure = error_body(500, "the fault 'error' is set");
        co_await answer.send(std::move(failure));
        co_return;
    }
    if (fault.mode == endpoint_fault_mode::slow) {
        co_await sleep_for(fault.delay);
    }
    if (message.method == "GET" && http::target_path(message.target) == "/v1/load" && options_.reports_load) {
        http::response report = load_report();
        co_await answer.send(std::move(report));
        co_return;
    }
    co_await serve(message, answer);
}

std::optional<http::response> endpoint_frame::answer_control(const http::request& /*message*/) {
    return std::nullopt;
}

std::optional<http::response> endpoint_frame::answer_common(const http::request& message) {
    const std::string_view path = http::target_path(message.target);
    if (message.method == "POST" && path == "/v1/faults") {
        return answer_fault(message);
    }
    if (message.method == "POST" && path == "/v1/leave") {
        return answer_leave(message);
    }
    return std::nullopt;
}

http::response endpoint_frame::answer_fault(const http::request& message) {
    const base::result<endpoint_fault> parsed = parse_endpoint_fault(message.body);
    if (!parsed) {
        return error_body(400, parsed.error().message);
    }
    set_fault(*parsed);
    return http::json_response(200, "{}");
}

http::response endpoint_frame::answer_leave(const http::request& message) {
    const base::result<bool> parsed = parse_leaving(message.body);
    if (!parsed) {
        return error_body(400, parsed.error().message);
    }
    set_leaving(*parsed);
    return http::json_response(200, "{}");
}

http::response endpoint_frame::load_report() const {
    const base::time_point at = now();
    const std::lock_guard<std::mutex> lock(mutex_);
    return load_body(load_.report(at), at);
}

void endpoint_frame::record_load() {
    load_.record(load_sample{now(), slots_.running(), slots_.waiting()});
}

slot_queue::ticket endpoint_frame::enter(int priority) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const slot_queue::ticket call = slots_.enter(priority);
    record_load();
    return call;
}

asio::awaitable<bool> endpoint_frame::wait_for_slot(slot_queue::ticket call, base::duration limit) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const base::time_point end = now() + limit;
    while (true) {
        const std::shared_ptr<change_signal::waiter> entered = slots_changed_.enter(executor);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (slots_.runs(call)) {
                co_return true;
            }
        }
        const base::duration left = end - now();
        if (killed_ || left <= base::duration::zero()) {
            co_return false;
        }
        co_await change_signal::wait(entered, left);
    }
}

void endpoint_frame::leave(slot_queue::ticket call) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        slots_.leave(call);
        record_load();
    }
    slots_changed_.notify();
}

std::size_t endpoint_frame::running() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return slots_.running();
}

} // namespace rattanbay::emulator::internal
