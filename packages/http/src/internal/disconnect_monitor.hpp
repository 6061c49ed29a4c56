#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>

namespace rattanbay::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Detects that the client closes its connection while its request is being handled. Data received
/// in the meantime belongs to a pipelined request and stays in the buffer.
class disconnect_monitor : public std::enable_shared_from_this<disconnect_monitor> {
public:
    disconnect_monitor(beast::tcp_stream& stream, beast::flat_buffer& buffer)
        : stream_(stream)
        , buffer_(buffer)
        , read_ended_(stream.get_executor(), asio::steady_timer::time_point::max()) {}

    void start(std::function<void()> callback) {
        callback_ = std::move(callback);
        const std::shared_ptr<disconnect_monitor> self = shared_from_this();
        reading_ = true;
        asio::co_spawn(
            stream_.get_executor(), [self]() { return self->monitor(); }, asio::detached);
    }

    /// Stops monitoring; after that, the connection can be read again.
    asio::awaitable<void> stop() {
        callback_ = nullptr;
        stopped_ = true;
        while (reading_) {
            error_code ignored;
            stream_.socket().cancel(ignored);
            co_await read_ended_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

private:
    asio::awaitable<void> monitor() {
        // Limits the memory that a client can occupy with pipelined requests.
        constexpr std::size_t max_buffered_bytes = 16 * 1024;
        constexpr std::size_t read_bytes = 4096;
        error_code ec;
        while (!ec && !stopped_ && buffer_.size() < max_buffered_bytes) {
            const std::size_t size = co_await stream_.socket().async_read_some(
                buffer_.prepare(read_bytes), asio::redirect_error(asio::use_awaitable, ec));
            buffer_.commit(size);
        }
        reading_ = false;
        read_ended_.cancel();
        if (ec && ec != asio::error::operation_aborted && callback_) {
            const std::function<void()> callback = std::move(callback_);
            callback();
        }
    }

    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    asio::steady_timer read_ended_;
    std::function<void()> callback_;
    bool reading_ = false;
    bool stopped_ = false;
};

} // namespace rattanbay::http::internal
