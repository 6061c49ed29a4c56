#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/message.hpp>

#include <cstdint>
#include <string>

namespace rattanbay::ctl {

/// Interface to files, network and clock; tests substitute an in-memory implementation.
class command_io {
public:
    virtual ~command_io() = default;

    /// Returns the content of a file, or `not_found` if it cannot be read.
    virtual base::result<std::string> read_file(const std::string& path) = 0;

    /// Sends one request on a new connection, so that it is never sent twice. Errors are those of
    /// `http::client_connection`; after `connection_refused` nothing was sent.
    virtual base::result<http::response> exchange(const base::address& address, const http::request& message,
                                                  const http::exchange_limits& limits) = 0;

    /// Returns the monotonic time.
    virtual base::time_point now() = 0;

    /// Blocks for `duration`.
    virtual void sleep_for(base::duration duration) = 0;

    /// Returns a seed for retry jitter and idempotency keys.
    virtual std::uint64_t random_seed() = 0;
};

} // namespace rattanbay::ctl
