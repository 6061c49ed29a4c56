#include "internal/socket_readiness.hpp"

#include <rattanbay/http/operation_timeout.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>

namespace rattanbay::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Interval at which an operation is examined again after its timeout. It may have been between two reads
/// when it was cancelled, or its socket was ready.
constexpr std::chrono::milliseconds recheck_interval{2};

} // namespace

struct operation_timeout::state {
    state(const asio::any_io_executor& executor, boost::beast::tcp_stream& watched, base::duration timeout,
          awaited_readiness readiness)
        : stream(watched)
        , timer(executor, timeout)
        , awaited(readiness) {}

    boost::beast::tcp_stream& stream;
    asio::steady_timer timer;
    awaited_readiness awaited;
    bool expired = false;
    bool finished = false;
};

operation_timeout::operation_timeout(boost::beast::tcp_stream& stream, base::duration timeout,
                                     awaited_readiness awaited)
    : operation_timeout(stream.get_executor(), stream, timeout, awaited) {}

operation_timeout::operation_timeout(const asio::any_io_executor& executor, boost::beast::tcp_stream& stream,
                                     base::duration timeout, awaited_readiness awaited)
    : state_(std::make_shared<state>(executor, stream, timeout, awaited)) {
    stream.expires_never();
    start_wait(state_);
}

operation_timeout::~operation_timeout() {
    state_->finished = true;
    state_->timer.cancel();
}

void operation_timeout::start_wait(const std::shared_ptr<state>& current) {
    current->timer.async_wait([current](const error_code& ec) {
        // The handler can be queued behind the completion of the operation and then runs after `finish`.
        if (ec || current->finished) {
            return;
        }
        if (!internal::is_ready(current->stream.socket().native_handle(), current->awaited)) {
            current->expired = true;
            current->stream.cancel();
        }
        current->timer.expires_after(recheck_interval);
        start_wait(current);
    });
}

error_code operation_timeout::finish(error_code ec) {
    state_->finished = true;
    state_->timer.cancel();
    const bool cancelled = state_->expired && ec == asio::error::operation_aborted;
    return cancelled ? error_code(boost::beast::error::timeout) : ec;
}

} // namespace rattanbay::http
