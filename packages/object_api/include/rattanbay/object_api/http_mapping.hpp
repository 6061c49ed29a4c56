#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <string_view>

namespace rattanbay::object_api {

/// A call as an HTTP request of the platform's protocol.
struct http_call {
    /// Name of the kind of call, for metrics.
    std::string_view kind;
    http::request message;
    /// Time the platform may hold the request before it answers; zero except for watches.
    base::duration wait{};
    /// Whether the request may be sent twice. A second write or deletion could meet the effect of
    /// the first one and be answered by a conflict.
    bool repeatable = true;
};

/// The protocol of a platform: how calls become HTTP requests and responses become answers. This
/// class is the protocol of the project's own stand-in.
class object_protocol {
public:
    virtual ~object_protocol() = default;

    virtual http_call to_http(const call& request) const;
    virtual answer to_answer(const call& request, const base::result<http::response>& response) const;
};

/// HTTP request of a call. Kinds and names go into the path as they are, without encoding; the
/// value of a write is the body byte for byte.
http_call to_http(const call& request);

/// Answer to a call from its HTTP response or the error of the exchange. An answer that the call's
/// doc comment does not name is `failed`: with the exchange's error, with `unavailable` for a status
/// that the call does not expect, or with `protocol_violation` for a malformed body.
///
/// The value of an `object` is parsed and dumped. Strings, integers from -2^63 to 2^64-1, finite
/// doubles (as the nearest double) and the order of arrays are preserved. Spaces and escapes, the
/// order of keys and the form of numbers may change; the last one of equal keys remains. The
/// sha256 of a document covers a string inside the value and is not affected.
answer to_answer(const call& request, const base::result<http::response>& response);

} // namespace rattanbay::object_api
