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

/// Notices that the client closes its connection while its request is handled. What it sends in
/// the meantime is the start of its next request and stays in the buffer.
class departure_watch : public std::enable_shared_from_this<departure_watch> {
public:
    departure_watch(beast::tcp_stream& stream, beast::flat_buffer& buffer)
        : stream_(stream)
        , buffer_(buffer)
        , ended_(stream.get_executor(), asio::steady_timer::time_point::max()) {}

    void start(std::function<void()> notify) {
        notify_ = std::move(notify);
        const std::shared_ptr<departure_watch> self = shared_from_this();
        reading_ = true;
        asio::co_spawn(
            stream_.get_executor(), [self]() { return self->watch(); }, asio::detached);
    }

    /// Ends the watch; afterwards the connection may be read again.
    asio::awaitable<void> stop() {
        notify_ = nullptr;
        stopped_ = true;
        while (reading_) {
            error_code ignored;
            stream_.socket().cancel(ignored);
            co_await ended_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

private:
    asio::awaitable<void> watch() {
        // Bounds what a client can make the server hold before its request is answered.
        constexpr std::size_t most_ahead = 16 * 1024;
        constexpr std::size_t piece = 4096;
        error_code ec;
        while (!ec && !stopped_ && buffer_.size() < most_ahead) {
            const std::size_t size = co_await stream_.socket().async_read_some(
                buffer_.prepare(piece), asio::redirect_error(asio::use_awaitable, ec));
            buffer_.commit(size);
        }
        reading_ = false;
        ended_.cancel();
        if (ec && ec != asio::error::operation_aborted && notify_) {
            const std::function<void()> notify = std::move(notify_);
            notify();
        }
    }

    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    asio::steady_timer ended_;
    std::function<void()> notify_;
    bool reading_ = false;
    bool stopped_ = false;
};

} // namespace rattanbay::http::internal
