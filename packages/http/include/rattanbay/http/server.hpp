#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rattanbay::http {

namespace asio = boost::asio;

/// Limits on what a client of the server may send, and how slowly.
struct server_limits {
    /// Bytes of the request line and all fields.
    std::size_t header_bytes = 16 * 1024;
    /// Bytes of a request body.
    std::size_t body_bytes = 4 * 1024 * 1024;
    /// Time for the request line and all fields to arrive, counted from the first byte.
    base::duration header_arrival = std::chrono::seconds(10);
    /// Time for the body to arrive, counted from the end of the fields.
    base::duration arrival = std::chrono::seconds(10);
    /// Time that a connection may stay open without a request.
    base::duration idle = std::chrono::seconds(60);
    /// Time for the client to take what is written.
    base::duration write = std::chrono::seconds(10);
};

/// Sends the response of one request: either one `send`, or `begin_stream`, any number of
/// `write` calls and `end_stream`.
class responder {
public:
    virtual ~responder() = default;

    /// Sends a whole response. Errors: `connection_broken`, `timed_out`.
    virtual asio::awaitable<base::result<void>> send(response message) = 0;

    /// Sends the head of a response with a chunked body.
    virtual asio::awaitable<base::result<void>> begin_stream(response_head head) = 0;

    /// Sends one piece of the body; `piece` is not empty.
    virtual asio::awaitable<base::result<void>> write(std::string piece) = 0;

    /// Ends the chunked body.
    virtual asio::awaitable<base::result<void>> end_stream() = 0;

    /// Closes the connection instead of finishing the response, so that the client sees that the
    /// response is incomplete.
    virtual void abort() = 0;

    /// Whether a head or a whole response was sent.
    virtual bool started() const = 0;

    /// Writes bytes to the connection as they are and closes it after the request. For stand-ins
    /// that violate the protocol on purpose.
    virtual asio::awaitable<base::result<void>> write_raw(std::string bytes) = 0;

    /// Number of the connection; the server counts accepted connections from 1.
    virtual std::uint64_t connection() const = 0;

    /// Calls `notify` once, on the connection's strand, when the client closes its connection while
    /// its request is being handled. `notify` is dropped when the handler returns.
    virtual void on_departure(std::function<void()> notify) = 0;

    /// Ends the connection after this response; called before the response is sent.
    virtual void close_after() = 0;
};

/// Handles one request. Runs on the connection's strand; the responder is valid until it returns.
using handler = std::function<asio::awaitable<void>(const request&, responder&)>;

/// Builds the response to a request that the server rejects before the handler sees it.
/// The error is `exhausted` (too large), `timed_out` (too slow) or `invalid_input` (malformed).
using rejection = std::function<response(const base::error&)>;

/// Listens on one address and serves HTTP/1.1 with keep-alive, each connection on its own strand.
class server : public std::enable_shared_from_this<server> {
public:
    /// Binds and starts to accept. Errors: `unavailable` when the address cannot be bound.
    static base::result<std::shared_ptr<server>> listen(asio::io_context& context,
                                                        const base::address& address, handler handle,
                                                        rejection reject, server_limits limits);

    virtual ~server() = default;

    /// Stops accepting. Open connections finish the request at hand, answer with
    /// `Connection: close` and then close; idle ones close at once.
    virtual void shut_down() = 0;

    /// Ends each connection after the response at hand; the server goes on accepting connections and
    /// requests.
    virtual void end_keep_alive() = 0;

    /// Replaces the limits; connections use them from their next request on.
    virtual void set_limits(server_limits limits) = 0;

    /// Connections that are open.
    virtual std::size_t open_connections() const = 0;

    /// Number of the connection that was accepted last, 0 for none.
    virtual std::uint64_t newest_connection() const = 0;

    /// Requests that are being handled.
    virtual std::size_t open_requests() const = 0;
};

} // namespace rattanbay::http
