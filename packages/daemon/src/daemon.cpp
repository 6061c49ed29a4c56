#include "internal/caller_handler.hpp"
#include "internal/clock.hpp"
#include "internal/control.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/operator_handler.hpp"
#include "internal/relay_handler.hpp"
#include "internal/shared_state.hpp"

#include <rattanbay/daemon/daemon.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <mutex>
#include <random>
#include <thread>

namespace rattanbay::daemon {

namespace {

using internal::now;

/// Time for which a draining daemon accepts requests after the entry lists cached by callers have expired.
constexpr std::chrono::seconds accept_margin{2};
constexpr std::chrono::milliseconds drain_poll_interval{20};
/// Retry delay that is sent to clients for whose request no memory or descriptor was left. Other VMs may have
/// room now.
constexpr std::chrono::milliseconds overloaded_retry_delay{250};
/// Time before the end of a planned stop in which requests that are still open get their final answers.
constexpr std::chrono::milliseconds final_answer_time{300};

base::incarnation random_incarnation() {
    std::random_device device;
    constexpr unsigned random_bits = 32;
    base::incarnation incarnation;
    for (std::uint8_t& byte : incarnation.bytes) {
        byte = static_cast<std::uint8_t>(device() >> (random_bits - 8U));
    }
    return incarnation;
}

http::server_limits server_limits_of(const config::settings& settings) {
    http::server_limits limits;
    limits.max_body_bytes = settings.max_body_bytes;
    limits.body_timeout = settings.request_read_timeout;
    return limits;
}

http::server_limits server_limits_of(const config::client_limits& source) {
    http::server_limits limits;
    limits.max_header_bytes = source.max_header_bytes;
    limits.max_body_bytes = source.max_body_bytes;
    limits.header_timeout = source.header_read_timeout;
    limits.idle_timeout = source.idle_timeout;
    return limits;
}

class daemon_process final : public daemon {
public:
    daemon_process(config::settings settings, platform_protocols protocols)
        : resources_(std::make_shared<internal::daemon_resources>(settings))
        , shared_(context_, std::move(settings), random_incarnation(), std::move(protocols), resources_)
        , control_strand_(asio::make_strand(context_))
        , control_plane_(std::make_shared<internal::control_plane>(shared_, admission_gate_, control_strand_))
        , caller_handler_(shared_, admission_gate_, control_plane_)
        , operator_handler_(shared_, control_plane_, [this]() { drain(); })
        , signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

    ~daemon_process() override {
        context_.stop();
        for (std::thread& thread : threads_) {
            thread.join();
        }
        control_plane_->close_sockets();
    }

    base::result<void> listen() {
        base::result<void> bound = listen(
            caller_server_, shared_.settings.caller_address,
            [this](http::request& message, http::responder& responder) {
                return shared_.relay ? relay_handler_->handle(message, responder)
                                     : caller_handler_.handle(message, responder);
            },
            server_limits_of(shared_.settings), true);
        if (bound) {
            bound = listen(
                operator_server_, shared_.settings.operator_address,
                [this](const http::request& message, http::responder& responder) {
                    return operator_handler_.handle(message, responder);
                },
                http::server_limits{});
        }
        if (bound && shared_.relay) {
            bound = listen_for_relay();
        }
        return bound ? control_plane_->start() : bound;
    }

    /// Runs handlers until the daemon has stopped. An exception of one, such as that of a timer, ends this
    /// handler only.
    void run_context() {
        bool finished = false;
        while (!finished) {
            try {
                context_.run();
                finished = true;
            } catch (const std::exception& error) {
                internal::log_aborted_call("handler", "", error.what());
            }
        }
    }

    void run() {
        wait_for_signal();
        // The control plane gets an additional thread, except in a configuration with a single thread.
        const std::size_t count = shared_.settings.threads == 1 ? 1 : shared_.settings.threads + 1;
        threads_.reserve(count);
        for (std::size_t n = 0; n < count; ++n) {
            threads_.emplace_back([this]() { run_context(); });
        }
        telemetry::log(telemetry::log_event::daemon_started,
                       {{"incarnation", shared_.id.text()},
                        {"caller_address", shared_.settings.caller_address.text()},
                        {"peer_address", shared_.settings.peer_address.text()},
                        {"operator_address", shared_.settings.operator_address.text()}});
    }

    void drain() override {
        if (shared_.draining.exchange(true)) {
            return;
        }
        telemetry::log(telemetry::log_event::daemon_draining, {});
        shared_.record({}, telemetry::timeline_event::drain_started, {});
        asio::co_spawn(
            control_strand_, [this]() { return run_drain(); }, asio::detached);
    }

    void wait() override {
        std::unique_lock<std::mutex> lock(mutex_);
        stopped_condition_.wait(lock, [this]() { return stopped_; });
    }

private:
    void wait_for_signal() {
        signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
            if (ec) {
                return;
            }
            if (signal == SIGHUP) {
                check_settings_file();
                wait_for_signal();
            } else {
                drain();
            }
        });
    }

    /// Reads the settings file again. Changes take effect at the next start; errors that would prevent it are
    /// logged now.
    void check_settings_file() const {
        const config::validation_result<config::settings> read =
            config::settings::read(shared_.settings.source_path);
        if (!read) {
            for (const config::finding& finding : read.error()) {
                telemetry::log(telemetry::log_event::settings_rejected,
                               {{"pointer", finding.pointer}, {"detail", finding.message}});
            }
            return;
        }
        telemetry::log(telemetry::log_event::settings_changed, {{"file", shared_.settings.source_path}});
    }

    base::result<void> listen(std::shared_ptr<http::server>& server, const base::address& address,
                              http::request_handler handle, http::server_limits limits,
                              bool rejects_connections = false) {
        const http::server_resources resources{&resources_->memory, &resources_->descriptors,
                                               rejects_connections};
        base::result<std::shared_ptr<http::server>> bound = http::server::listen(
            context_, address, std::move(handle),
            [this](const base::error& error) { return rejection_response(error); }, limits,
            [this](const http::unanswered_request& request) { log_unanswered(request); },
            [this](const http::closed_connection& connection) { log_closed(connection); }, resources);
        if (!bound) {
            return tl::unexpected<base::error>(bound.error());
        }
        server = *bound;
        return {};
    }

    http::response rejection_response(const base::error& error) const {
        const base::problem problem = caller::rejection_problem(error);
        if (error.code == base::error_code::overloaded) {
            // These may be many at once; their number is logged.
            resources_->rejections.fetch_add(1);
            return shared_.relay ? shared_.relay->protocol->write_problem(problem, overloaded_retry_delay)
                                 : caller::problem_response(problem, {});
        }
        // The failure of a handler is logged as an unanswered request.
        if (error.code != base::error_code::unavailable) {
            telemetry::log(telemetry::log_event::request_rejected, {{"detail", error.message}});
        }
        return caller::problem_response(problem, {});
    }

    /// What the log says about a request that was read completely.
    struct request_summary {
        /// At most as long as a log line may hold; empty if the request has none.
        std::string id;
        /// Time for which the client says that it waits, in milliseconds; empty if it does not say.
        std::string client_wait_ms;
    };

    request_summary summarize(const http::request& message) const {
        constexpr std::size_t max_id_bytes = 128;
        request_summary out;
        out.id = message.fields.find("X-Request-Id").value_or("");
        if (shared_.relay) {
            const base::result<relay::client_request> parsed = shared_.relay->protocol->read_request(message);
            out.id = parsed ? parsed->id.text() : std::string();
            if (parsed && parsed->time_left) {
                out.client_wait_ms = std::to_string(base::to_milliseconds(*parsed->time_left));
            }
        }
        out.id.resize(std::min(out.id.size(), max_id_bytes));
        return out;
    }

    void log_unanswered(const http::unanswered_request& request) const {
        const request_summary summary =
            request.message != nullptr ? summarize(*request.message) : request_summary{};
        telemetry::log(
            telemetry::log_event::request_unanswered,
            {{"request", summary.id},
             {"connection", std::to_string(request.connection_id)},
             {"reason", std::string(base::to_name(request.reason))},
             {"complete", request.message != nullptr ? "true" : "false"},
             {"since_last_byte_ms", std::to_string(base::to_milliseconds(request.since_last_byte))},
             {"client_wait_ms", summary.client_wait_ms},
             {"sent_bytes", std::to_string(request.sent_bytes)},
             {"draining", shared_.draining.load() ? "true" : "false"},
             {"detail", request.detail}});
    }

    void log_closed(const http::closed_connection& connection) {
        const std::string reason(base::to_name(connection.reason));
        shared_.metrics.record_closed_connection(reason);
        const bool was_idle = connection.reason == http::close_reason::idle ||
                              connection.reason == http::close_reason::shut_down;
        const bool in_doubt = was_idle && (connection.unread_bytes > 0 ||
                                           connection.first_idle_timeout != connection.last_idle_timeout);
        telemetry::log(
            in_doubt ? telemetry::log_event::connection_closed_in_doubt
                     : telemetry::log_event::connection_closed,
            {{"connection", std::to_string(connection.connection_id)},
             {"reason", reason},
             {"requests", std::to_string(connection.requests)},
             {"idle_ms", std::to_string(base::to_milliseconds(connection.idle_time))},
             {"first_idle_timeout_ms", std::to_string(base::to_milliseconds(connection.first_idle_timeout))},
             {"last_idle_timeout_ms", std::to_string(base::to_milliseconds(connection.last_idle_timeout))},
             {"unread_bytes", std::to_string(connection.unread_bytes)}});
    }

    base::result<void> listen_for_relay() {
        relay_handler_ = std::make_unique<internal::relay_handler>(shared_, control_plane_->pieces(),
                                                                   control_plane_->quarantine(),
                                                                   control_plane_->stream_origins());
        shared_.relay->on_client_limits = [this](const config::client_limits& limits) {
            caller_server_->set_limits(server_limits_of(limits));
        };
        base::result<void> bound = listen(
            entries_server_, shared_.relay->settings.entries_address,
            [this](const http::request& message, http::responder& responder) {
                return relay_handler_->handle_entries(message, responder);
            },
            http::server_limits{});
        if (bound) {
            bound = listen(
                readiness_server_, shared_.relay->settings.readiness_address,
                [this](const http::request& message, http::responder& responder) {
                    return relay_handler_->handle_readiness(message, responder);
                },
                http::server_limits{});
        }
        return bound;
    }

    /// Time for which requests are accepted after a planned stop has begun.
    base::duration accept_period() const {
        return shared_.relay ? shared_.relay->settings.accept_grace_period
                             : shared_.settings.entries_max_age + accept_margin;
    }

    asio::awaitable<void> run_drain() {
        control_plane_->begin_drain();
        caller_server_->disable_keep_alive();
        const base::time_point drain_deadline = now() + accept_period() + shared_.settings.drain_timeout;
        if (shared_.relay) {
            shared_.relay->stop_deadline.store(drain_deadline - final_answer_time);
        }
        co_await sleep_for(accept_period());
        if (shared_.relay) {
            shared_.relay->rejecting_requests.store(true);
        }
        caller_server_->shut_down();
        // A connection is open until a request that has arrived on it is answered, also an unread one.
        // Other daemons' requests wait for the stages that are in progress here.
        while ((caller_server_->listening() || caller_server_->open_connections() > 0 ||
                control_plane_->has_stages()) &&
               now() < drain_deadline) {
            co_await sleep_for(drain_poll_interval);
            if (shared_.relay && now() >= shared_.relay->stop_deadline.load()) {
                shared_.relay->open_requests->end_all();
            }
        }
        co_await control_plane_->shut_down();
        telemetry::log(telemetry::log_event::daemon_stopped,
                       {{"open_requests", std::to_string(caller_server_->open_requests())}});
        const std::lock_guard<std::mutex> lock(mutex_);
        stopped_ = true;
        stopped_condition_.notify_all();
    }

    asio::awaitable<void> sleep_for(base::duration duration) {
        asio::steady_timer timer(control_strand_, duration);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    /// Outlives the context, whose pending operations hold parts of it.
    const std::shared_ptr<internal::daemon_resources> resources_;
    asio::io_context context_;
    internal::shared_state shared_;
    internal::control_strand control_strand_;
    internal::admission_gate admission_gate_;
    std::shared_ptr<internal::control_plane> control_plane_;
    internal::caller_handler caller_handler_;
    internal::operator_handler operator_handler_;
    asio::signal_set signals_;
    std::shared_ptr<http::server> caller_server_;
    std::shared_ptr<http::server> operator_server_;
    std::unique_ptr<internal::relay_handler> relay_handler_;
    std::shared_ptr<http::server> entries_server_;
    std::shared_ptr<http::server> readiness_server_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::condition_variable stopped_condition_;
    bool stopped_ = false;
};

} // namespace

platform_protocols platform_protocols::emulated() {
    return {std::make_shared<object_api::object_protocol>(), nullptr};
}

base::result<std::unique_ptr<daemon>> daemon::start(config::settings settings, platform_protocols protocols) {
    if (settings.relay && !protocols.relay) {
        return base::fail(base::error_code::invalid_input,
                          "the settings are for a relay, but no relay protocol was given");
    }
    std::unique_ptr<daemon_process> process =
        std::make_unique<daemon_process>(std::move(settings), std::move(protocols));
    const base::result<void> listening = process->listen();
    if (!listening) {
        return tl::unexpected<base::error>(listening.error());
    }
    process->run();
    return std::unique_ptr<daemon>(std::move(process));
}

} // namespace rattanbay::daemon
