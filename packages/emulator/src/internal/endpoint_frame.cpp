#include "endpoint_frame.hpp"

#include "clock.hpp"
#include "endpoint_json.hpp"
#include "faulty_responder.hpp"

#include <boost/asio/this_coro.hpp>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

endpoint_server::endpoint_server(const endpoint_options& options)
    : options_(options)
    , faults_(options.seed)
    , slots_(options.concurrency)
    , load_(options.load_report_age) {}

base::result<void> endpoint_server::listen(asio::io_context& context) {
    const std::shared_ptr<endpoint_server> self = shared_from_this();
    const http::request_handler handle_one = [self](const http::request& message, http::responder& out) {
        return self->handle(message, out);
    };
    const http::rejection_handler reject = [](const base::error& reason) {
        return endpoint_error_response(reason.code == base::error_code::exhausted ? 413 : 400,
                                       reason.message);
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

void endpoint_server::stop() {
    const std::shared_ptr<http::server> server = server_.lock();
    if (server) {
        server->shut_down();
    }
    stopped_ = true;
    slots_changed_.notify();
}

void endpoint_server::kill() {
    killed_ = true;
    stop();
}

void endpoint_server::set_fault(endpoint_fault fault) {
    const std::shared_ptr<http::server> server = server_.lock();
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_.set(fault, server ? server->last_connection_id() : 0);
}

void endpoint_server::set_leaving(bool leaving) {
    leaving_ = leaving;
}

bool endpoint_server::is_silent(std::uint64_t connection) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_.is_silent(connection);
}

asio::awaitable<void> endpoint_server::hold_open(http::responder& out) {
    // A disconnected client is not detected here, so the time is bounded.
    constexpr base::duration max_hold_time = std::chrono::minutes(10);
    constexpr base::duration poll_interval = std::chrono::milliseconds(100);
    const base::time_point deadline = now() + max_hold_time;
    while (!stopped_ && now() < deadline) {
        co_await sleep_for(poll_interval);
    }
    out.abort();
}

asio::awaitable<void> endpoint_server::handle(const http::request& message, http::responder& out) {
    std::optional<http::response> control = handle_common(message);
    if (!control) {
        control = handle_control(message);
    }
    if (control) {
        co_await out.send(std::move(*control));
        co_return;
    }
    if (is_silent(out.connection_id())) {
        co_await hold_open(out);
        co_return;
    }
    endpoint_fault fault;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault = faults_.draw();
    }
    faulty_responder answer(*this, out, fault, message.fields.find("X-Attempt-Id"));
    if (fault.mode == endpoint_fault_mode::error) {
        http::response failure = endpoint_error_response(500, "the fault 'error' is set");
        co_await answer.send(std::move(failure));
        co_return;
    }
    if (fault.mode == endpoint_fault_mode::slow) {
        co_await sleep_for(fault.delay);
    }
    if (message.method == "GET" && http::target_path(message.target) == "/v1/load" && options_.reports_load) {
        http::response report = handle_load();
        co_await answer.send(std::move(report));
        co_return;
    }
    co_await handle_call(message, answer);
}

std::optional<http::response> endpoint_server::handle_control(const http::request& /*message*/) {
    return std::nullopt;
}

std::optional<http::response> endpoint_server::handle_common(const http::request& message) {
    const std::string_view path = http::target_path(message.target);
    if (message.method == "POST" && path == "/v1/faults") {
        return handle_set_fault(message);
    }
    if (message.method == "POST" && path == "/v1/leave") {
        return handle_set_leaving(message);
    }
    return std::nullopt;
}

http::response endpoint_server::handle_set_fault(const http::request& message) {
    const base::result<endpoint_fault> parsed = parse_endpoint_fault(message.body);
    if (!parsed) {
        return endpoint_error_response(400, parsed.error().message);
    }
    set_fault(*parsed);
    return http::json_response(200, "{}");
}

http::response endpoint_server::handle_set_leaving(const http::request& message) {
    const base::result<bool> parsed = parse_leaving(message.body);
    if (!parsed) {
        return endpoint_error_response(400, parsed.error().message);
    }
    set_leaving(*parsed);
    return http::json_response(200, "{}");
}

http::response endpoint_server::handle_load() const {
    const base::time_point at = now();
    const std::lock_guard<std::mutex> lock(mutex_);
    return load_report_response(load_.report(at), at);
}

void endpoint_server::record_load() {
    load_.record(load_sample{now(), slots_.running(), slots_.waiting()});
}

slot_queue::ticket endpoint_server::enqueue_call(int priority) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const slot_queue::ticket call = slots_.enqueue(priority);
    record_load();
    return call;
}

asio::awaitable<bool> endpoint_server::wait_for_slot(slot_queue::ticket call, base::duration timeout) {
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const base::time_point deadline = now() + timeout;
    while (true) {
        const std::shared_ptr<change_signal::waiter> registered = slots_changed_.register_waiter(executor);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (slots_.is_running(call)) {
                co_return true;
            }
        }
        const base::duration remaining = deadline - now();
        if (killed_ || remaining <= base::duration::zero()) {
            co_return false;
        }
        co_await change_signal::wait(registered, remaining);
    }
}

void endpoint_server::release_slot(slot_queue::ticket call) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        slots_.release(call);
        record_load();
    }
    slots_changed_.notify();
}

std::size_t endpoint_server::running_calls() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return slots_.running();
}

} // namespace rattanbay::emulator::internal
