#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/message.hpp>

#include <cstdint>
#include <string>

namespace rattanbay::ctl {

/// What commands need of the outside world; tests replace it.
class command_io {
public:
    virtual ~command_io() = default;

    /// Whole content of a file; `not_found` when it cannot be read.
    virtual base::result<std::string> read_file(const std::string& path) = 0;

    /// One exchange on a new connection, so that a request is never sent twice. Errors are those of
    /// `http::client_connection`; after `connection_refused` nothing was sent.
    virtual base::result<http::response> exchange(const base::address& address, const http::request& message,
                                                  const http::exchange_timeouts& limits) = 0;

    /// Monotonic time.
    virtual base::time_point now() = 0;

    /// Lets time pass.
    virtual void wait(base::duration duration) = 0;

    /// Seed for back-off.
    virtual std::uint64_t seed() = 0;
};

} // namespace rattanbay::ctl
