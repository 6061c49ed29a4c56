#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/descriptor_budget.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/http/response_memory.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::http {

namespace asio = boost::asio;

/// Timeouts of the steps of one exchange and the bound on its response.
struct exchange_limits {
    base::duration connect = std::chrono::milliseconds(300);
    base::duration write = std::chrono::seconds(2);
    /// For the complete response header.
    base::duration response_header = std::chrono::seconds(2);
    /// For the complete response body.
    base::duration body_read = std::chrono::seconds(1);
    /// Size of the response body, unless `memory` is set.
    std::size_t max_body_bytes = 16 * 1024 * 1024;
    /// Memory that bounds the response body together with other responses; null if only this one is bounded.
    response_memory* memory = nullptr;
};

/// Budget from which connections take their descriptors, and the use that they count for.
struct descriptor_source {
    /// Null if descriptors are not counted.
    descriptor_budget* budget = nullptr;
    descriptor_use use = descriptor_use::endpoints;
};

/// One connection to a server. It carries one exchange at a time: `send`, `read_header`, then
/// `read_some` until it returns an empty string. Every step has a timeout, so a connection on which
/// the peer stops responding fails in the current step.
class client_connection {
public:
    /// Opens a connection. It takes a descriptor of the budget, if there is one. Errors:
    /// `connection_refused`, `timed_out`, `overloaded` if no descriptor is left; nothing was sent.
    static asio::awaitable<base::result<std::unique_ptr<client_connection>>>
    connect(asio::any_io_executor executor, base::address address, base::duration timeout,
            descriptor_source descriptors = {});

    virtual ~client_connection() = default;

    /// Sends a request. After an error, the server may have received any part of it.
    virtual asio::awaitable<base::result<void>> send(request message, base::duration timeout) = 0;

    /// Starts sending a request and returns at once. The response may be read while the request is
    /// still being written, as some servers respond before they have read a long body. A failed
    /// write is reported by `read_header`.
    virtual void begin_send(request message, base::duration timeout) = 0;

    /// Reads the status line and the header fields; a header that is too large is `exhausted`.
    virtual asio::awaitable<base::result<response_header>> read_header(base::duration timeout) = 0;

    /// Prepares for one more response after one that was read to its end and answers an earlier exchange.
    virtual void expect_response() = 0;

    /// Reads the next part of the body; returns an empty string at the end of a complete body. A
    /// truncated body is `connection_broken`, a malformed one `protocol_violation`. Bytes between two parts
    /// of a body that are no content, such as chunk extensions or trailers, are `exhausted` if there are too
    /// many.
    virtual asio::awaitable<base::result<std::string>> read_some(base::duration timeout) = 0;

    /// Whether the last exchange completed, no data is left over and the server keeps the connection
    /// open.
    virtual bool reusable() const = 0;

    /// Whether an idle connection is still open and has no unread data.
    virtual bool passes_stale_check() = 0;

    /// Whether a pending operation has something to read: data, the end of the connection or an error. Does
    /// not consume it.
    virtual bool is_readable() = 0;

    /// How long the server keeps the connection open without a request, from the `Keep-Alive` field of
    /// its last response.
    virtual std::optional<base::duration> keep_alive_timeout() const = 0;

    virtual const base::address& remote_address() const = 0;

    /// Closes the connection; a pending operation fails with `connection_broken`.
    virtual void close() = 0;

    /// Number of recorded exchanges that a connection remembers. A server may send a response once more after
    /// several other ones.
    static constexpr std::size_t max_recorded_exchanges = 16;

    /// Records the identifier of an exchange that has ended. The oldest one is forgotten if there are more
    /// than `max_recorded_exchanges`.
    void record_exchange(std::string_view id);

    /// Whether one of the recorded exchanges has the identifier.
    bool has_carried(std::string_view id) const;

private:
    /// Identifiers of the recorded exchanges, the oldest first.
    std::deque<base::hash128> exchanges_;
};

/// Reads the rest of a body. The timeout applies to all of it, however many parts it arrives in. Error
/// besides those of `client_connection`: `exhausted` if `held`, which has its size afterwards, cannot grow.
asio::awaitable<base::result<std::string>> read_body(client_connection& connection, base::duration timeout,
                                                     response_memory::share& held);

/// The same for a body of at most `max_bytes`; a longer one is `exhausted`.
asio::awaitable<base::result<std::string>> read_body(client_connection& connection, base::duration timeout,
                                                     std::size_t max_bytes);

} // namespace rattanbay::http
