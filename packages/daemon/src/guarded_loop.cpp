#include "internal/guarded_loop.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds restart_pause{500};

} // namespace

void log_aborted_call(std::string_view call, std::string_view subject, std::string_view detail) {
    telemetry::log(
        telemetry::log_event::call_aborted,
        {{"call", std::string(call)}, {"subject", std::string(subject)}, {"detail", std::string(detail)}});
}

asio::awaitable<void> run_guarded(asio::any_io_executor executor, std::string_view name,
                                  std::function<asio::awaitable<void>()> loop) {
    while (true) {
        try {
            co_await loop();
            co_return;
        } catch (const std::exception& error) {
            log_aborted_call(name, "", error.what());
        }
        asio::steady_timer timer(executor, restart_pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace rattanbay::daemon::internal
