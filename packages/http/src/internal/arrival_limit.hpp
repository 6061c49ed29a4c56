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

/// A time limit that cancels the operations of a stream. The timeout of a tcp_stream closes the
/// socket; this one leaves it open, so that the client can be told why its request was rejected.
class arrival_limit {
public:
    arrival_limit(beast::tcp_stream& stream, base::duration limit)
        : stream_(stream)
        , timer_(stream.get_executor(), limit) {
        timer_.async_wait([this](const error_code& ec) {
            if (!ec) {
                late_ = true;
                stream_.cancel();
            }
        });
    }

    /// Stops the timer and returns the error of the operation, `timeout` when the limit passed.
    asio::awaitable<error_code> finish(error_code ec) {
        if (timer_.cancel() == 0 && !late_) {
            // The timer's handler is already queued and refers to this object: lets it run first.
            co_await asio::post(stream_.get_executor(), asio::use_awaitable);
        }
        co_return late_&& ec == asio::error::operation_aborted ? error_code(beast::error::timeout) : ec;
    }

private:
    beast::tcp_stream& stream_;
    asio::steady_timer timer_;
    bool late_ = false;
};

} // namespace rattanbay::http::internal
