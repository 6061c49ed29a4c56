#pragma once

#include <rattanbay/base/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace rattanbay::http {

/// What a pending operation of a stream waits for.
enum class awaited_readiness { read, write };

/// Cancels the pending operations of a stream after a timeout and leaves the socket open. An operation whose
/// socket is ready is not cancelled: if the thread was held, the event loop can find the expired timer before
/// it has seen the data that arrived in time. The operation has to be awaited on the executor of the timeout,
/// whose handlers must not run concurrently.
class operation_timeout {
public:
    /// Uses the executor of the stream.
    operation_timeout(boost::beast::tcp_stream& stream, base::duration timeout, awaited_readiness awaited);

    /// For an operation that is not awaited on the executor of its stream.
    operation_timeout(const boost::asio::any_io_executor& executor, boost::beast::tcp_stream& stream,
                      base::duration timeout, awaited_readiness awaited);

    operation_timeout(const operation_timeout&) = delete;
    operation_timeout& operator=(const operation_timeout&) = delete;

    ~operation_timeout();

    /// Stops the timer and returns the error of the operation, `beast::error::timeout` if the timer cancelled
    /// it.
    boost::system::error_code finish(boost::system::error_code ec);

private:
    struct state;

    static void start_wait(const std::shared_ptr<state>& current);

    std::shared_ptr<state> state_;
};

} // namespace rattanbay::http
