#include "internal/caller_handler.hpp"
#include "internal/clock.hpp"
#include "internal/control.hpp"
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

#include <condition_variable>
#include <csignal>
#include <mutex>
#include <random>
#include <thread>

namespace rattanbay::daemon {

namespace {

using internal::now;

/// How long a draining daemon still accepts beyond the time that callers keep its address.
constexpr std::chrono::seconds accept_margin{2};
constexpr std::chrono::milliseconds drain_check{20};

base::incarnation draw_incarnation() {
    std::random_device device;
    constexpr unsigned half = 32;
    base::incarnation drawn;
    for (std::uint8_t& byte : drawn.bytes) {
        byte = static_cast<std::uint8_t>(device() >> (half - 8U));
    }
    return drawn;
}

http::server_limits limits_of(const config::settings& settings) {
    http::server_limits limits;
    limits.max_body_bytes = settings.max_body_bytes;
    limits.body_timeout = settings.request_arrival;
    return limits;
}

http::server_limits limits_of(const config::client_limits& from) {
    http::server_limits limits;
    limits.max_header_bytes = from.header_bytes;
    limits.max_body_bytes = from.body_bytes;
    limits.header_timeout = from.header_arrival;
    limits.idle_timeout = from.idle;
    return limits;
}

http::response reject(const base::error& reason) {
    telemetry::log(telemetry::log_event::request_rejected, {{"detail", reason.message}});
    return caller::problem_response(caller::rejection_problem(reason), {});
}

class daemon_process final : public daemon {
public:
    daemon_process(config::settings settings, platform_protocols protocols)
        : shared_(context_, std::move(settings), draw_incarnation(), std::move(protocols))
        , strand_(asio::make_strand(context_))
        , control_(std::make_shared<internal::control>(shared_, gate_, strand_))
        , callers_(shared_, gate_, control_)
        , operators_(shared_, control_, [this]() { drain(); })
        , signals_(context_, SIGTERM, SIGINT, SIGHUP) {}

    ~daemon_process() override {
        context_.stop();
        for (std::thread& thread : threads_) {
            thread.join();
        }
        control_->abandon();
    }

    base::result<void> listen() {
        base::result<void> bound = listen(
            caller_server_, shared_.settings.caller_address,
            [this](const http::request& message, http::responder& out) {
                return shared_.relay ? relays_->handle(message, out) : callers_.handle(message, out);
            },
            limits_of(shared_.settings));
        if (bound) {
            bound = listen(
                operator_server_, shared_.settings.operator_address,
                [this](const http::request& message, http::responder& out) {
                    return operators_.handle(message, out);
                },
                http::server_limits{});
        }
        if (bound && shared_.relay) {
            bound = listen_for_relay();
        }
        return bound ? control_->start() : bound;
    }

    void run() {
        await_signal();
        // One thread more for the control work, unless the requests have just one themselves.
        const std::size_t count = shared_.settings.threads == 1 ? 1 : shared_.settings.threads + 1;
        threads_.reserve(count);
        for (std::size_t n = 0; n < count; ++n) {
            threads_.emplace_back([this]() { context_.run(); });
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
            strand_, [this]() { return drain_steps(); }, asio::detached);
    }

    void wait() override {
        std::unique_lock<std::mutex> lock(mutex_);
        stopped_signal_.wait(lock, [this]() { return stopped_; });
    }

private:
    void await_signal() {
        signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
            if (ec) {
                return;
            }
            if (signal == SIGHUP) {
                check_settings_file();
                await_signal();
            } else {
                drain();
            }
        });
    }

    /// Reads the settings file again. What it says takes effect at the next start; a file that would
    /// keep the daemon from starting is reported now.
    void check_settings_file() const {
        const config::checked<config::settings> read = config::settings::read(shared_.settings.source);
        if (!read) {
            for (const config::finding& finding : read.error()) {
                telemetry::log(telemetry::log_event::settings_rejected,
                               {{"pointer", finding.pointer}, {"detail", finding.message}});
            }
            return;
        }
        telemetry::log(telemetry::log_event::settings_changed, {{"file", shared_.settings.source}});
    }

    base::result<void> listen(std::shared_ptr<http::server>& out, const base::address& address,
                              http::request_handler handle, http::server_limits limits) {
        base::result<std::shared_ptr<http::server>> bound =
            http::server::listen(context_, address, std::move(handle), reject, limits);
        if (!bound) {
            return tl::unexpected<base::error>(bound.error());
        }
        out = *bound;
        return {};
    }

    base::result<void> listen_for_relay() {
        relays_ = std::make_unique<internal::relay_handler>(shared_, control_->pieces());
        shared_.relay->on_limits = [this](const config::client_limits& limits) {
            caller_server_->set_limits(limits_of(limits));
        };
        base::result<void> bound = listen(
            entries_server_, shared_.relay->settings.entries_address,
            [this](const http::request& message, http::responder& out) {
                return relays_->handle_entries(message, out);
            },
            http::server_limits{});
        if (bound) {
            bound = listen(
                readiness_server_, shared_.relay->settings.readiness_address,
                [this](const http::request& message, http::responder& out) {
                    return relays_->handle_readiness(message, out);
                },
                http::server_limits{});
        }
        return bound;
    }

    /// How long callers may still come after the begin of a planned stop.
    base::duration accept_time() const {
        return shared_.relay ? shared_.relay->settings.stop_accepting
                             : shared_.settings.entries_max_age + accept_margin;
    }

    asio::awaitable<void> drain_steps() {
        control_->begin_drain();
        caller_server_->disable_keep_alive();
        co_await pause(accept_time());
        if (shared_.relay) {
            shared_.relay->refusing.store(true);
        }
        caller_server_->shut_down();
        const base::time_point limit = now() + shared_.settings.drain_limit;
        while (caller_server_->open_requests() > 0 && now() < limit) {
            co_await pause(drain_check);
        }
        co_await control_->finish();
        telemetry::log(telemetry::log_event::daemon_stopped,
                       {{"open_requests", std::to_string(caller_server_->open_requests())}});
        const std::lock_guard<std::mutex> lock(mutex_);
        stopped_ = true;
        stopped_signal_.notify_all();
    }

    asio::awaitable<void> pause(base::duration length) {
        asio::steady_timer timer(strand_, length);
        boost::system::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    asio::io_context context_;
    internal::shared_state shared_;
    internal::control_strand strand_;
    internal::admission_gate gate_;
    std::shared_ptr<internal::control> control_;
    internal::caller_handler callers_;
    internal::operator_handler operators_;
    asio::signal_set signals_;
    std::shared_ptr<http::server> caller_server_;
    std::shared_ptr<http::server> operator_server_;
    std::unique_ptr<internal::relay_handler> relays_;
    std::shared_ptr<http::server> entries_server_;
    std::shared_ptr<http::server> readiness_server_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::condition_variable stopped_signal_;
    bool stopped_ = false;
};

} // namespace

platform_protocols platform_protocols::own() {
    return {std::make_shared<object_api::object_protocol>(), nullptr};
}

base::result<std::unique_ptr<daemon>> daemon::start(config::settings settings, platform_protocols protocols) {
    if (settings.relay && !protocols.relay) {
        return base::fail(base::error_code::invalid_input,
                          "the settings are for a relay, whose protocol is missing");
    }
    std::unique_ptr<daemon_process> created =
        std::make_unique<daemon_process>(std::move(settings), std::move(protocols));
    const base::result<void> listening = created->listen();
    if (!listening) {
        return tl::unexpected<base::error>(listening.error());
    }
    created->run();
    return std::unique_ptr<daemon>(std::move(created));
}

} // namespace rattanbay::daemon
