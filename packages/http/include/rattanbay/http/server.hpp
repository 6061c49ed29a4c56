#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/closed_connection.hpp>
#include <rattanbay/http/descriptor_budget.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/http/unanswered_request.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rattanbay::http {

namespace asio = boost::asio;

/// Size limits and timeouts of a server's connections.
struct server_limits {
    /// Size of the request line and all header fields.
    std::size_t max_header_bytes = 16 * 1024;
    /// Size of a request body.
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Timeout for receiving the request line and all header fields, from the first byte.
    base::duration header_timeout = std::chrono::seconds(10);
    /// Timeout for receiving the body, from the end of the header.
    base::duration body_timeout = std::chrono::seconds(10);
    /// Time after which a connection without a request is closed. Responses announce four fifths of it, in
    /// whole seconds, in `Keep-Alive`.
    base::duration idle_timeout = std::chrono::seconds(60);
    /// Timeout of each write to the client.
    base::duration write_timeout = std::chrono::seconds(10);
};

/// Sends the response of one request: either one `send`, or `begin_stream`, any number of
/// `write` calls and `end_stream`.
class responder {
public:
    virtual ~responder() = default;

    /// Sends a complete response. Errors: `connection_broken`, `timed_out`.
    virtual asio::awaitable<base::result<void>> send(response message) = 0;

    /// Sends the header of a response with a chunked body.
    virtual asio::awaitable<base::result<void>> begin_stream(response_header header) = 0;

    /// Sends one chunk of the body; `data` must not be empty.
    virtual asio::awaitable<base::result<void>> write(std::string data) = 0;

    /// Sends the last chunk.
    virtual asio::awaitable<base::result<void>> end_stream() = 0;

    /// Closes the connection without completing the response, so that the client detects the
    /// truncation.
    virtual void abort() = 0;

    /// Whether a header or a complete response was sent.
    virtual bool started() const = 0;

    /// Writes bytes to the connection unmodified and closes it after the request. For test servers
    /// that violate the protocol on purpose.
    virtual asio::awaitable<base::result<void>> write_raw(std::string bytes) = 0;

    /// Sequence number of the connection among those the server has accepted, from 1.
    virtual std::uint64_t connection_id() const = 0;

    /// Registers a callback that is called at most once, on the connection's strand, when the client
    /// closes its connection while the request is being handled. It is dropped when the handler
    /// returns.
    virtual void on_disconnect(std::function<void()> callback) = 0;

    /// Whether the client has closed its connection. Unlike `on_disconnect`, this also finds a close that
    /// arrived while the thread did other work. A close behind a pipelined request is not found.
    virtual bool is_disconnected() = 0;

    /// Time at which the first bytes of the request were read.
    virtual std::chrono::steady_clock::time_point begin_of_request() const = 0;

    /// Closes the connection after this response. Must be called before the response is sent.
    virtual void close_after_response() = 0;
};

/// Handles one request. Runs on the connection's strand; the responder is valid until it returns. The handler
/// may take the body out of the request.
using request_handler = std::function<asio::awaitable<void>(request&, responder&)>;

/// Builds the response to a request that the server rejects without calling the request handler.
/// The error is `exhausted` (too large), `timed_out` (too slow), `invalid_input` (malformed) or `overloaded`
/// (no memory or no descriptor for it at the moment; it was not run). It is
/// `unavailable` for a request whose handler threw an exception before it had begun to respond; whether that
/// request has run is unknown.
using rejection_handler = std::function<response(const base::error&)>;

/// Connections beyond the budget of descriptors that a server keeps at once until they have got their
/// rejection. Further ones are closed without a response.
inline constexpr std::size_t max_rejected_connections = 64;

/// Resources that the connections of a server share with the rest of the process; null if they are not
/// bounded. They must outlive the server.
struct server_resources {
    /// For the bodies of requests. A request without room is rejected before its body is read.
    memory_budget* memory = nullptr;
    /// For the connections.
    descriptor_budget* descriptors = nullptr;
    /// Whether connections beyond the budget of descriptors are rejected; otherwise they only count.
    bool rejects_connections = true;
};

/// Listens on one address and serves HTTP/1.1 with keep-alive, each connection on its own strand.
class server : public std::enable_shared_from_this<server> {
public:
    /// Binds the address and starts accepting connections. `on_unanswered` and `on_closed` may be empty.
    /// Error: `unavailable` when the address cannot be bound.
    static base::result<std::shared_ptr<server>>
    listen(asio::io_context& context, const base::address& address, request_handler handle_request,
           rejection_handler reject, server_limits limits, unanswered_handler on_unanswered = {},
           close_handler on_closed = {}, server_resources resources = {});

    virtual ~server() = default;

    /// Stops accepting connections, after those that wait to be accepted. Connections with a request in
    /// progress complete it, respond with `Connection: close` and close; idle connections close at once, and
    /// connections that have carried no request a quarter of a second after they were accepted.
    virtual void shut_down() = 0;

    /// Closes each connection after its current response; the server continues to accept connections
    /// and requests.
    virtual void disable_keep_alive() = 0;

    /// Replaces the limits. Each connection applies them from its next request. A longer idle timeout also
    /// applies to connections that are idle, counted from the end of their last response; a shorter one does
    /// not, as their clients may not know of it.
    virtual void set_limits(server_limits limits) = 0;

    /// Whether connections are still accepted. False soon after `shut_down`, once those that waited to be
    /// accepted count as open.
    virtual bool listening() const = 0;

    /// Number of open connections.
    virtual std::size_t open_connections() const = 0;

    /// Sequence number of the most recently accepted connection, 0 if there was none.
    virtual std::uint64_t last_connection_id() const = 0;

    /// Number of requests being handled.
    virtual std::size_t open_requests() const = 0;
};

} // namespace rattanbay::http
