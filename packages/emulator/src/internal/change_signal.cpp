#include "change_signal.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::emulator::internal {

namespace asio = boost::asio;

std::shared_ptr<change_signal::waiter> change_signal::register_waiter(const asio::any_io_executor& executor) {
    std::shared_ptr<waiter> registered = std::make_shared<waiter>(executor);
    const std::lock_guard<std::mutex> lock(mutex_);
    // Removes expired waiters before the vector would reallocate.
    if (waiters_.size() == waiters_.capacity()) {
        std::erase_if(waiters_, [](const std::weak_ptr<waiter>& row) { return row.expired(); });
    }
    waiters_.push_back(registered);
    return registered;
}

asio::awaitable<void> change_signal::wait(std::shared_ptr<waiter> registered, base::duration timeout) {
    if (registered->notified || timeout <= base::duration::zero()) {
        co_return;
    }
    registered->timer.expires_after(timeout);
    boost::system::error_code ec;
    co_await registered->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void change_signal::notify() {
    std::vector<std::weak_ptr<waiter>> waiting;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        waiting.swap(waiters_);
    }
    for (const std::weak_ptr<waiter>& row : waiting) {
        const std::shared_ptr<waiter> registered = row.lock();
        if (!registered) {
            continue;
        }
        asio::post(registered->timer.get_executor(), [registered]() {
            registered->notified = true;
            registered->timer.cancel();
        });
    }
}

} // namespace rattanbay::emulator::internal
