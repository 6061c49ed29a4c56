#pragma once

#include <rattanbay/base/time.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace rattanbay::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Cancels the pending operations of a stream after a timeout. Unlike the timeout of a tcp_stream, it
/// leaves the socket open, so that the server can send a response that rejects the request.
class read_timeout {
public:
    read_timeout(beast::tcp_stream& stream, base::duration timeout)
        : state_(std::make_shared<state>())
        , timer_(stream.get_executor(), timeout) {
        timer_.async_wait([&stream, state = state_](const error_code& ec) {
            // The handler can be queued behind the completion of the read and then runs after `finish`.
            if (!ec && !state->finished) {
                state->expired = true;
                stream.cancel();
            }
        });
    }

    read_timeout(const read_timeout&) = delete;
    read_timeout& operator=(const read_timeout&) = delete;

    ~read_timeout() { state_->finished = true; }

    /// Stops the timer and returns the error of the operation, `timeout` if the timer cancelled it.
    error_code finish(error_code ec) {
        state_->finished = true;
        timer_.cancel();
        return state_->expired && ec == asio::error::operation_aborted ? error_code(beast::error::timeout)
                                                                       : ec;
    }

private:
    struct state {
        bool expired = false;
        bool finished = false;
    };

    std::shared_ptr<state> state_;
    asio::steady_timer timer_;
};

} // namespace rattanbay::http::internal
