#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace rattanbay::http {

/// Why a server's connection ended.
enum class close_reason {
    /// No request arrived within the idle timeout.
    idle,
    /// The server was shut down while no request was open.
    shut_down,
    /// The response to the last request announced or required it.
    after_response,
    /// A request was rejected without calling the request handler.
    rejected,
    /// The client closed or reset the connection, or a read failed.
    client,
};

/// A connection that has ended.
struct closed_connection {
    close_reason reason = close_reason::client;
    std::uint64_t connection_id = 0;
    /// Number of requests whose first byte arrived.
    std::uint64_t requests = 0;
    /// Time since the last response or since the connection was accepted; 0 unless it ended idle.
    base::duration idle_time{};
    /// Idle timeout in force when that time began, and when the connection ended.
    base::duration first_idle_timeout{};
    base::duration last_idle_timeout{};
    /// Bytes that had arrived and were not read.
    std::size_t unread_bytes = 0;
};

/// Is told about each connection that has ended, on the connection's strand.
using close_handler = std::function<void(const closed_connection&)>;

} // namespace rattanbay::http

template <> struct rattanbay::base::enum_names<rattanbay::http::close_reason> {
    static constexpr std::array<enum_name<rattanbay::http::close_reason>, 5> table{{
        {rattanbay::http::close_reason::idle, "idle"},
        {rattanbay::http::close_reason::shut_down, "shut_down"},
        {rattanbay::http::close_reason::after_response, "after_response"},
        {rattanbay::http::close_reason::rejected, "rejected"},
        {rattanbay::http::close_reason::client, "client"},
    }};
};
