#pragma once

#include <rattanbay/base/enum_names.hpp>

#include <tl/expected.hpp>

#include <string>

namespace rattanbay::base {

/// Category of an error, on which calling code can branch.
enum class error_code {
    invalid_input,
    not_found,
    conflict,
    unavailable,
    timed_out,
    connection_refused,
    connection_broken,
    protocol_violation,
    permission_denied,
    exhausted,
    /// The process has too little of a resource at the moment; nothing was done.
    overloaded,
};

template <> struct enum_names<error_code> {
    static constexpr std::array<enum_name<error_code>, 11> table{{
        {error_code::invalid_input, "invalid_input"},
        {error_code::not_found, "not_found"},
        {error_code::conflict, "conflict"},
        {error_code::unavailable, "unavailable"},
        {error_code::timed_out, "timed_out"},
        {error_code::connection_refused, "connection_refused"},
        {error_code::connection_broken, "connection_broken"},
        {error_code::protocol_violation, "protocol_violation"},
        {error_code::permission_denied, "permission_denied"},
        {error_code::exhausted, "exhausted"},
        {error_code::overloaded, "overloaded"},
    }};
};

/// An error: its category and a human-readable message.
struct error {
    error_code code = error_code::invalid_input;
    std::string message;

    friend bool operator==(const error&, const error&) = default;
};

/// A value or an error.
template <class T> using result = tl::expected<T, error>;

/// Creates the error of a `result`.
inline tl::unexpected<error> fail(error_code code, std::string message) {
    return tl::unexpected<error>(error{code, std::move(message)});
}

} // namespace rattanbay::base
