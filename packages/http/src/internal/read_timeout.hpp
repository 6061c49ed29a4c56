#pragma once

#include <rattanbay/base/time.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rattanbay::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Cancels the pending operations of a stream after a timeout. Unlike the timeout of a tcp_stream, it
/// leaves the socket open, so that the server can send a response that rejects the request.
class read_timeout {
public:
    read_timeout(beast::tcp_stream& stream, base::duration timeout)
        : stream_(stream)
        , timer_(stream.get_executor(), timeout) {
        timer_.async_wait([this](const error_code& ec) {
            if (!ec) {
                expired_ = true;
                stream_.cancel();
            }
        });
    }

    /// Stops the timer and returns the error of the operation, `timeout` if the timer expired.
    asio::awaitable<error_code> finish(error_code ec) {
        if (timer_.cancel() == 0 && !expired_) {
            // The timer's handler is already queued and refers to this object, so let it run first.
            co_await asio::post(stream_.get_executor(), asio::use_awaitable);
        }
        co_return expired_&& ec == asio::error::operation_aborted ? error_code(beast::error::timeout) : ec;
    }

private:
    beast::tcp_stream& stream_;
    asio::steady_timer timer_;
    bool expired_ = false;
};

} // namespace rattanbay::http::internal
