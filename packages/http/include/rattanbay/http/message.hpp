#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/http/memory_budget.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::http {

/// One header field.
struct field {
    std::string name;
    std::string value;
};

/// Header fields in message order; names are case-insensitive.
class fields {
public:
    fields() = default;

    fields(std::initializer_list<field> list)
        : list_(list) {}

    void add(std::string name, std::string value);

    /// Value of the first field with this name.
    std::optional<std::string> find(std::string_view name) const;

    const std::vector<field>& list() const { return list_; }

private:
    std::vector<field> list_;
};

/// A complete request.
struct request {
    std::string method;
    /// Path and query, starting with '/'.
    std::string target;
    http::fields fields;
    std::string body;
    /// Sent instead of `body` if it is set, so that several attempts share one body.
    std::shared_ptr<const std::string> shared_body = nullptr;
    /// Counts the body of a received request toward the memory budget of its server; null if it is not
    /// counted.
    std::shared_ptr<memory_share> memory = nullptr;

    /// Makes the body shared. It counts toward the memory budget until the last attempt has ended with it.
    void share_body();
};

/// A response with its complete body.
struct response {
    int status = 0;
    http::fields fields;
    std::string body;
};

/// Status line and header fields of a response whose body is streamed.
struct response_header {
    int status = 0;
    http::fields fields;
};

/// Path of a request target, without the query.
std::string_view target_path(std::string_view target);

/// Encodes a text as a segment of a path or as the value of a query parameter: all bytes but the unreserved
/// characters of RFC 3986 become percent escapes.
std::string percent_encode(std::string_view text);

/// Decodes a segment of a path. Percent signs that begin no escape stay as they are.
std::string percent_decode(std::string_view text);

/// Decoded value of a query parameter of a request target; a plus sign stands for a space.
std::optional<std::string> query_parameter(std::string_view target, std::string_view name);

/// Response with a JSON body.
response json_response(int status, std::string body);

} // namespace rattanbay::http
