#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/endpoint_fault.hpp>
#include <rattanbay/emulator/load_history.hpp>
#include <rattanbay/http/message.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace rattanbay::emulator::internal {

/// Response with a JSON body {"error": message}.
http::response endpoint_error_response(int status, std::string_view message);

/// Response with a load report {"running","waiting","as_of_ms_ago"}.
http::response load_report_response(const load_sample& sample, base::time_point now);

/// Parses {"mode","delay_ms","probability"}. Errors: `invalid_input`.
base::result<endpoint_fault> parse_endpoint_fault(std::string_view text);

/// Parses {"leaving": bool}. Errors: `invalid_input`.
base::result<bool> parse_leaving(std::string_view text);

/// Parses the body {"input": ...} of a call. Errors: `invalid_input`.
base::result<nlohmann::json> parse_input(std::string_view text);

} // namespace rattanbay::emulator::internal
