#include "clock.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

base::time_point now() {
    const std::chrono::steady_clock::duration since_start =
        std::chrono::steady_clock::now().time_since_epoch();
    return base::time_point(std::chrono::duration_cast<base::duration>(since_start));
}

asio::awaitable<void> sleep_for(base::duration wait) {
    if (wait <= base::duration::zero()) {
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, wait);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace rattanbay::emulator::internal
