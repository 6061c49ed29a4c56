#pragma once

#include <rattanbay/http/client_connection.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string_view>

namespace rattanbay::http {

/// Idle client connections by address. Safe for use from several threads.
class connection_pool {
public:
    connection_pool() = default;

    /// A pool whose connections take their descriptors from a budget.
    explicit connection_pool(descriptor_source descriptors)
        : descriptors_(descriptors) {}

    /// Idle time after which a connection is not reused: a NAT or firewall on the path may have dropped
    /// its state by then, and packets on the connection would be lost silently.
    static constexpr std::chrono::seconds max_idle_time{5};
    /// Idle connections kept per address, and in all.
    static constexpr std::size_t max_idle_per_address = 32;
    static constexpr std::size_t max_idle_connections = 1024;
    /// Interval at which connections that were idle for too long are closed, also those to addresses that are
    /// not used any more. It is checked when a connection is kept.
    static constexpr std::chrono::seconds sweep_interval{1};

    /// Returns the most recently used idle connection to the address that was idle for at most
    /// `max_idle`, or null. Skips connections that the server has closed or is about to close, and those
    /// that have carried an exchange with the identifier `exchange`: a second copy of its response could not
    /// be told from the response to the next exchange.
    std::unique_ptr<client_connection> acquire(const base::address& address,
                                               base::duration max_idle = max_idle_time,
                                               std::string_view exchange = {});

    /// Keeps a reusable connection for later, closes any other.
    void release(std::unique_ptr<client_connection> connection);

    /// Closes all idle connections to an address, after one of them failed.
    void close_idle(const base::address& address);

    /// Closes all idle connections to addresses that are not listed any more.
    void close_unlisted(const std::function<bool(const base::address&)>& is_listed);

    /// Closes the connections that were idle for more than `max_idle_time`, which are not used again.
    void close_expired();

    /// Closes up to `count` idle connections, those that are idle for the longest time first. Returns how
    /// many there were.
    std::size_t close_oldest(std::size_t count);

    /// Number of idle connections.
    std::size_t idle_connections() const;

    /// Budget of descriptors for new connections.
    descriptor_source descriptors() const { return descriptors_; }

private:
    struct idle_connection {
        std::unique_ptr<client_connection> connection;
        std::chrono::steady_clock::time_point idle_since;
    };

    /// Addresses with at least one idle connection, the one that is idle for the longest time first.
    using idle_map = std::map<base::address, std::deque<idle_connection>>;

    /// Closes the connections that were idle for more than `max_idle_time`.
    void sweep(std::chrono::steady_clock::time_point now);
    /// Closes the connection that is idle for the longest time; there must be one.
    void close_oldest();

    const descriptor_source descriptors_{};
    mutable std::mutex mutex_;
    idle_map idle_;
    std::size_t idle_count_ = 0;
    std::chrono::steady_clock::time_point last_sweep_{};
};

/// Whether a request may still be sent; evaluated right before each send. Empty if it always may.
using send_condition = std::function<bool()>;

/// Receives the connection on which a request is about to be sent, and null when the exchange on it has
/// ended. Closing it ends the exchange.
using connection_observer = std::function<void(client_connection*)>;

/// Performs one exchange of an idempotent request on a pooled or a new connection. If it fails on a
/// pooled connection, it is retried once on a new one. Errors besides those of `client_connection`:
/// `unavailable` if `may_send` did not hold, so that nothing was sent.
asio::awaitable<base::result<response>> exchange(asio::any_io_executor executor, connection_pool& pool,
                                                 base::address address, request message,
                                                 exchange_limits limits, send_condition may_send = {},
                                                 connection_observer on_connection = {});

/// Performs one exchange on a new connection, without retries. After any error other than
/// `connection_refused` the server may have processed the request.
asio::awaitable<base::result<response>> exchange_once(asio::any_io_executor executor, base::address address,
                                                      request message, exchange_limits limits,
                                                      descriptor_source descriptors = {});

} // namespace rattanbay::http
