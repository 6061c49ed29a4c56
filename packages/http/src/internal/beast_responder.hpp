#pragma once

#include "disconnect_monitor.hpp"
#include "peer_close.hpp"

#include <rattanbay/http/server.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cassert>
#include <chrono>
#include <functional>
#include <optional>

namespace rattanbay::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Writes the response of one request to a connection.
class beast_responder final : public responder {
public:
    beast_responder(beast::tcp_stream& stream, beast::flat_buffer& buffer, base::duration write_timeout,
                    bool keep_alive, std::uint64_t connection_id)
        : stream_(stream)
        , buffer_(buffer)
        , write_timeout_(write_timeout)
        , keep_alive_(keep_alive)
        , connection_id_(connection_id) {}

    void on_disconnect(std::function<void()> callback) override {
        assert(!disconnect_monitor_);
        disconnect_monitor_ = std::make_shared<disconnect_monitor>(stream_, buffer_);
        disconnect_monitor_->start(std::move(callback));
    }

    bool is_disconnected() override { return internal::is_closed_by_peer(stream_.socket()); }

    std::chrono::steady_clock::time_point begin_of_request() const override { return begin_of_request_; }

    void set_begin_of_request(std::chrono::steady_clock::time_point at) { begin_of_request_ = at; }

    void close_after_response() override { keep_alive_ = false; }

    /// The response closes the connection unless this holds when its header is written.
    void set_keep_alive_condition(std::function<bool()> condition) {
        keep_alive_condition_ = std::move(condition);
    }

    /// Announces in the response that the connection stays open without a request; the server must keep it
    /// for `idle_timeout`. The announced time is shorter, so that a request at its end still arrives in time.
    void announce_idle_timeout(base::duration idle_timeout) {
        announced_idle_time_ = std::chrono::duration_cast<std::chrono::seconds>(
            idle_timeout * announced_share_numerator / announced_share_denominator);
    }

    /// Stops the monitoring that `on_disconnect` started.
    asio::awaitable<void> stop_disconnect_monitor() {
        if (disconnect_monitor_) {
            co_await disconnect_monitor_->stop();
        }
    }

    asio::awaitable<base::result<void>> send(response message) override {
        assert(!started_);
        started_ = true;
        beast::http::response<beast::http::string_body> out;
        out.version(http_1_1);
        out.result(static_cast<unsigned>(message.status));
        set_keep_alive(out);
        for (const field& entry : message.fields.list()) {
            out.insert(entry.name, entry.value);
        }
        out.body() = std::move(message.body);
        out.prepare_payload();
        error_code ec;
        stream_.expires_after(write_timeout_);
        sent_bytes_ +=
            co_await beast::http::async_write(stream_, out, asio::redirect_error(asio::use_awaitable, ec));
        complete_ = !ec;
        co_return record(ec);
    }

    asio::awaitable<base::result<void>> begin_stream(response_header header) override {
        assert(!started_);
        started_ = true;
        beast::http::response<beast::http::empty_body> out;
        out.version(http_1_1);
        out.result(static_cast<unsigned>(header.status));
        set_keep_alive(out);
        out.chunked(true);
        for (const field& entry : header.fields.list()) {
            out.insert(entry.name, entry.value);
        }
        beast::http::response_serializer<beast::http::empty_body> serializer(out);
        error_code ec;
        stream_.expires_after(write_timeout_);
        sent_bytes_ += co_await beast::http::async_write_header(
            stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
        co_return record(ec);
    }

    asio::awaitable<base::result<void>> write(std::string data) override {
        assert(started_ && !data.empty());
        error_code ec;
        stream_.expires_after(write_timeout_);
        sent_bytes_ += co_await asio::async_write(stream_, beast::http::make_chunk(asio::buffer(data)),
                                                  asio::redirect_error(asio::use_awaitable, ec));
        co_return record(ec);
    }

    asio::awaitable<base::result<void>> end_stream() override {
        assert(started_);
        error_code ec;
        stream_.expires_after(write_timeout_);
        sent_bytes_ += co_await asio::async_write(stream_, beast::http::make_chunk_last(),
                                                  asio::redirect_error(asio::use_awaitable, ec));
        complete_ = !ec;
        co_return record(ec);
    }

    void abort() override {
        complete_ = false;
        closed_by_client_ = is_disconnected();
        aborted_ = true;
        error_code ignored;
        stream_.socket().close(ignored);
    }

    bool started() const override { return started_; }

    asio::awaitable<base::result<void>> write_raw(std::string bytes) override {
        started_ = true;
        complete_ = false;
        raw_ = true;
        error_code ec;
        stream_.expires_after(write_timeout_);
        sent_bytes_ += co_await asio::async_write(stream_, asio::buffer(bytes),
                                                  asio::redirect_error(asio::use_awaitable, ec));
        co_return record(ec);
    }

    std::uint64_t connection_id() const override { return connection_id_; }

    /// Whether a complete response was sent and the connection can carry another request.
    bool reusable() const { return complete_ && keep_alive_; }

    /// Why the response is not complete, or empty if it is. Bytes written with `write_raw` count as a
    /// complete response.
    std::optional<unanswered_request> unanswered() {
        if (complete_ || raw_) {
            return std::nullopt;
        }
        unanswered_request out;
        out.connection_id = connection_id_;
        out.sent_bytes = sent_bytes_;
        out.detail = write_error_;
        if (aborted_ ? closed_by_client_ : is_disconnected()) {
            out.reason = unanswered_reason::client_closed;
        } else if (aborted_) {
            out.reason = unanswered_reason::aborted;
        } else {
            out.reason =
                write_error_.empty() ? unanswered_reason::no_response : unanswered_reason::write_failed;
        }
        return out;
    }

private:
    static constexpr int http_1_1 = 11;
    /// Clients reuse connections that have been idle for up to four fifths of the idle timeout. The rest is
    /// for a request on its way and for a thread that is held.
    static constexpr int announced_share_numerator = 4;
    static constexpr int announced_share_denominator = 5;

    template <class Body> void set_keep_alive(beast::http::response<Body>& out) {
        keep_alive_ = keep_alive_ && (!keep_alive_condition_ || keep_alive_condition_());
        out.keep_alive(keep_alive_);
        if (keep_alive_ && announced_idle_time_.count() > 0) {
            out.set(beast::http::field::connection, "keep-alive");
            out.set(beast::http::field::keep_alive,
                    "timeout=" + std::to_string(announced_idle_time_.count()));
        }
    }

    base::result<void> record(const error_code& ec) {
        if (!ec) {
            return {};
        }
        const base::error_code code =
            ec == beast::error::timeout ? base::error_code::timed_out : base::error_code::connection_broken;
        write_error_ = "write to the client: " + ec.message();
        return tl::unexpected<base::error>(base::error{code, write_error_});
    }

    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    base::duration write_timeout_;
    bool keep_alive_;
    std::uint64_t connection_id_;
    std::chrono::steady_clock::time_point begin_of_request_ = std::chrono::steady_clock::now();
    std::function<bool()> keep_alive_condition_;
    /// Whole seconds, the unit of the header field; 0 announces nothing.
    std::chrono::seconds announced_idle_time_{0};
    std::shared_ptr<disconnect_monitor> disconnect_monitor_;
    bool started_ = false;
    bool complete_ = false;
    bool raw_ = false;
    bool aborted_ = false;
    bool closed_by_client_ = false;
    std::uint64_t sent_bytes_ = 0;
    std::string write_error_;
};

} // namespace rattanbay::http::internal
