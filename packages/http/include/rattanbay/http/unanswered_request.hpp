#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace rattanbay::http {

/// Why a connection ended before its request was answered completely.
enum class unanswered_reason {
    /// The client closed or reset the connection.
    client_closed,
    /// The request could not be read and no response to it is possible.
    read_failed,
    /// A part of the response could not be written.
    write_failed,
    /// The handler aborted the response.
    aborted,
    /// The handler threw an exception.
    handler_failed,
    /// The handler returned without a complete response.
    no_response,
};

/// A request, or the part of one that has arrived, whose connection ended without a complete response.
struct unanswered_request {
    unanswered_reason reason = unanswered_reason::no_response;
    /// Text of the error that ended the connection; may be empty.
    std::string detail;
    std::uint64_t connection_id = 0;
    /// The request; null unless all of it has arrived. Valid only during the call.
    const request* message = nullptr;
    /// Time since the last byte of the request was read.
    base::duration since_last_byte{};
    /// Bytes of the response that were written.
    std::uint64_t sent_bytes = 0;
};

/// Is told about each unanswered request, on the connection's strand.
using unanswered_handler = std::function<void(const unanswered_request&)>;

} // namespace rattanbay::http

template <> struct rattanbay::base::enum_names<rattanbay::http::unanswered_reason> {
    static constexpr std::array<enum_name<rattanbay::http::unanswered_reason>, 6> table{{
        {rattanbay::http::unanswered_reason::client_closed, "client_closed"},
        {rattanbay::http::unanswered_reason::read_failed, "read_failed"},
        {rattanbay::http::unanswered_reason::write_failed, "write_failed"},
        {rattanbay::http::unanswered_reason::aborted, "aborted"},
        {rattanbay::http::unanswered_reason::handler_failed, "handler_failed"},
        {rattanbay::http::unanswered_reason::no_response, "no_response"},
    }};
};
