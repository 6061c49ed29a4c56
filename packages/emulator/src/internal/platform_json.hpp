#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/platform_fault.hpp>
#include <rattanbay/http/message.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::emulator::internal {

/// Converts an answer of the object API to an HTTP response.
http::response to_response(const object_api::answer& value);

/// Response with a JSON body {"error": message}.
http::response error_response(int status, std::string_view message);

/// Parses {"vms":[{"id","service","address","failure_domain","state"}]}. Errors: `invalid_input`.
base::result<std::vector<object_api::vm>> parse_vms(std::string_view text);

/// Parses {"mode","delay_ms"}. Errors: `invalid_input`.
base::result<platform_fault> parse_platform_fault(std::string_view text);

} // namespace rattanbay::emulator::internal
