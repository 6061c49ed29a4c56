#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <string_view>

namespace rattanbay::object_api {

/// A call encoded as an HTTP request.
struct http_call {
    /// Name of the call kind, used as a metric label.
    std::string_view kind;
    http::request message;
    /// Time for which the platform may delay its answer; zero except for watches.
    base::duration wait{};
    /// Whether the request may be sent again. A repeated write or deletion could encounter the effect of the
    /// first one and be answered with a conflict.
    bool retryable = true;
};

/// Maps calls to HTTP requests and HTTP responses to answers. The base class implements the protocol of the
/// project's own platform emulator; derived classes implement other platforms.
class object_protocol {
public:
    virtual ~object_protocol() = default;

    virtual http_call to_http(const call& request) const;
    virtual answer to_answer(const call& request, const base::result<http::response>& response) const;

    /// Era of the store that gave this response, whatever its status: how often the store came back from a
    /// copy. 0 on platforms that never do, and if the response names none.
    virtual std::uint64_t era(const http::response& response) const;
};

/// Encodes a call as an HTTP request. Names are percent-encoded in the path, kinds are words of the protocol
/// and are not; the value of a write is sent unchanged as the body.
http_call to_http(const call& request);

/// Decodes the answer to a call from its HTTP response or from the error of the exchange. The result is one
/// of the answers documented for the call. `failed` contains the exchange's error, `unavailable` for an
/// unexpected status, or `protocol_violation` for a malformed body.
///
/// The value of an `object` is parsed and serialized again. This preserves strings, integers from -2^63 to
/// 2^64-1, finite doubles (as the nearest double) and the order of arrays. White space, escapes, the order of
/// keys and the notation of numbers may change; of duplicate keys the last one is kept. The sha256 of a
/// document covers a string inside the value and is not affected.
answer to_answer(const call& request, const base::result<http::response>& response);

} // namespace rattanbay::object_api
