#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>

namespace rattanbay::http {

namespace asio = boost::asio;

/// Time limits of one exchange.
struct exchange_limits {
    base::duration connect = std::chrono::milliseconds(300);
    base::duration write = std::chrono::seconds(2);
    /// Time until the head of the response.
    base::duration head = std::chrono::seconds(2);
    /// Longest silence between two pieces of the body.
    base::duration body_gap = std::chrono::seconds(1);
};

/// One connection to a server. It serves one exchange at a time: `send`, `read_head`, `read_some`
/// until it returns an empty piece. Every step has a time limit, so a connection that went silent
/// is noticed by the step at hand.
class client_connection {
public:
    /// Opens a connection. Errors: `connection_refused`, `timed_out`; nothing was sent.
    static asio::awaitable<base::result<std::unique_ptr<client_connection>>>
    connect(asio::any_io_executor executor, base::address address, base::duration limit);

    virtual ~client_connection() = default;

    /// Sends a request. After an error any part of it may have arrived.
    virtual asio::awaitable<base::result<void>> send(request message, base::duration limit) = 0;

    /// Starts to send a request and returns at once: the response may be read while the request is
    /// still on its way, as some servers answer before they have read a long body. A failed write
    /// shows in `read_head`.
    virtual void begin_send(request message, base::duration limit) = 0;

    /// Reads the status line and the fields.
    virtual asio::awaitable<base::result<response_head>> read_head(base::duration limit) = 0;

    /// Reads the next piece of the body; an empty piece is the end of a whole body. A body that
    /// ends early is `connection_broken`, a malformed one `protocol_violation`.
    virtual asio::awaitable<base::result<std::string>> read_some(base::duration limit) = 0;

    /// Whether the last exchange ended with its whole response, nothing is left over and the
    /// server keeps the connection open.
    virtual bool reusable() const = 0;

    /// Whether an idle connection is still open and nothing came in on it.
    virtual bool quiet() = 0;

    /// How long the server keeps the connection open without a request, as its last response said.
    virtual std::optional<base::duration> idle_limit() const = 0;

    virtual const base::address& remote() const = 0;

    /// Closes the connection; a step in progress ends with `connection_broken`.
    virtual void close() = 0;
};

/// Reads the rest of a body, up to `max_bytes`; a longer one is `exhausted`.
asio::awaitable<base::result<std::string>> read_body(client_connection& connection, base::duration gap,
                                                     std::size_t max_bytes);

} // namespace rattanbay::http
