#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/engine_streams.hpp>
#include <rattanbay/emulator/order_log.hpp>
#include <rattanbay/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::emulator::internal {

/// Parsed completion request.
struct completion_call {
    generation_request request;
    /// Absent if the request has none.
    std::optional<std::uint64_t> seed;
    bool stream = false;
    std::string model;
};

/// Parses {"prompt", "stream", "max_tokens", "seed", "priority", "model"}. Errors: `invalid_input`.
base::result<completion_call> parse_completion(std::string_view text);

/// Parses {"after": n}. Errors: `invalid_input`.
base::result<std::uint64_t> parse_after(std::string_view text);

/// Parses {"fence": n, "action": ...}. Errors: `invalid_input`.
base::result<accepted_order> parse_order(std::string_view text);

/// Formats a token as an event of a stream.
std::string token_event(const std::string& stream, const generated_token& token);

/// Response of a non-streamed completion.
http::response completion_response(const std::string& stream, const std::string& model,
                                   const std::string& text, std::uint64_t tokens);

/// Response with the accepted orders.
http::response orders_response(const order_log& log);

} // namespace rattanbay::emulator::internal
