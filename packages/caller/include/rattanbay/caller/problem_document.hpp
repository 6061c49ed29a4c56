#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/message.hpp>

#include <string>

namespace rattanbay::caller {

/// JSON text of a problem document (RFC 9457) with the extension members `request_id`, `outcome`
/// and `retry_key_prefix`.
std::string problem_body(const base::problem& problem, const base::request_id& id);

/// Response with a problem document as its body.
http::response problem_response(const base::problem& problem, const base::request_id& id);

/// Problem for a request that the HTTP server rejected before it was received completely.
base::problem rejection_problem(const base::error& error);

} // namespace rattanbay::caller
