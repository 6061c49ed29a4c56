#pragma once

#include <rattanbay/base/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <mutex>
#include <vector>

namespace rattanbay::emulator::internal {

/// Notifies coroutines on any executor of changes to shared state. A waiter must be registered
/// before the state is read, so that a change between the read and the wait is not missed.
class change_signal {
public:
    /// A waiting coroutine; used on its own executor only.
    struct waiter {
        explicit waiter(const boost::asio::any_io_executor& executor)
            : timer(executor) {}

        boost::asio::steady_timer timer;
        bool notified = false;
    };

    /// Registers a waiter for the next change.
    std::shared_ptr<waiter> register_waiter(const boost::asio::any_io_executor& executor);

    /// Waits for a change since `register_waiter`, at most for `timeout`.
    static boost::asio::awaitable<void> wait(std::shared_ptr<waiter> registered, base::duration timeout);

    /// Wakes all registered waiters.
    void notify();

private:
    std::mutex mutex_;
    std::vector<std::weak_ptr<waiter>> waiters_;
};

} // namespace rattanbay::emulator::internal
