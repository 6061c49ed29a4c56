#pragma once

#include <rattanbay/http/client_connection.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace rattanbay::http {

/// Idle client connections by address. Safe for use from several threads.
class client_pool {
public:
    /// Idle time after which a connection is not used again: a device between the two ends may
    /// have dropped its state by then, and the connection would be silent.
    static constexpr std::chrono::seconds max_idle{5};
    /// Idle connections kept per address.
    static constexpr std::size_t max_idle_per_address = 32;

    /// An idle connection to the address that went idle last and no longer than `most_idle` ago, or
    /// null. Connections that the server has closed or is about to close are left out.
    std::unique_ptr<client_connection> take(const base::address& address,
                                            base::duration most_idle = max_idle);

    /// Keeps a connection for reuse when it is reusable, else closes it.
    void give_back(std::unique_ptr<client_connection> connection);

    /// Closes all idle connections to an address, after one of them was found silent.
    void discard(const base::address& address);

private:
    struct idle_connection {
        std::unique_ptr<client_connection> connection;
        std::chrono::steady_clock::time_point since;
    };

    std::mutex mutex_;
    std::map<base::address, std::deque<idle_connection>> idle_;
};

/// One whole exchange with an idempotent request, on an idle connection or a new one. An idle
/// connection that turns out to be broken or silent is replaced by a new one once.
asio::awaitable<base::result<response>> exchange(asio::any_io_executor executor, client_pool& pool,
                                                 base::address address, request message,
                                                 exchange_limits limits);

/// One whole exchange on a new connection, sent once. After an error the request may have taken
/// effect, unless the error is `connection_refused`.
asio::awaitable<base::result<response>> exchange_once(asio::any_io_executor executor, base::address address,
                                                      request message, exchange_limits limits);

} // namespace rattanbay::http
