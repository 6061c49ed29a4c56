#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/outcome.hpp>

#include <optional>
#include <string>

namespace rattanbay::base {

/// Kind of problem; determines the type, title and HTTP status of the problem document.
enum class problem_kind {
    malformed_request,
    unauthenticated,
    unknown_pipeline,
    method_not_allowed,
    invalid_idempotency_key,
    idempotency_key_required,
    idempotency_key_reused,
    body_too_large,
    request_timeout,
    deadline_exceeded,
    limit_exceeded,
    overloaded,
    no_endpoint,
    prompt_quarantined,
    stage_failed,
    record_unavailable,
    owner_unreachable,
    not_ready,
    internal_error,
};

template <> struct enum_names<problem_kind> {
    static constexpr std::array<enum_name<problem_kind>, 19> table{{
        {problem_kind::malformed_request, "malformed_request"},
        {problem_kind::unauthenticated, "unauthenticated"},
        {problem_kind::unknown_pipeline, "unknown_pipeline"},
        {problem_kind::method_not_allowed, "method_not_allowed"},
        {problem_kind::invalid_idempotency_key, "invalid_idempotency_key"},
        {problem_kind::idempotency_key_required, "idempotency_key_required"},
        {problem_kind::idempotency_key_reused, "idempotency_key_reused"},
        {problem_kind::body_too_large, "body_too_large"},
        {problem_kind::request_timeout, "request_timeout"},
        {problem_kind::deadline_exceeded, "deadline_exceeded"},
        {problem_kind::limit_exceeded, "limit_exceeded"},
        {problem_kind::overloaded, "overloaded"},
        {problem_kind::no_endpoint, "no_endpoint"},
        {problem_kind::prompt_quarantined, "prompt_quarantined"},
        {problem_kind::stage_failed, "stage_failed"},
        {problem_kind::record_unavailable, "record_unavailable"},
        {problem_kind::owner_unreachable, "owner_unreachable"},
        {problem_kind::not_ready, "not_ready"},
        {problem_kind::internal_error, "internal_error"},
    }};
};

/// An error response to a caller.
struct problem {
    problem_kind kind = problem_kind::internal_error;
    base::outcome outcome = base::outcome::unknown;
    std::string detail;
    /// Prefix for the idempotency key of a retry, if the response offers one.
    std::optional<std::string> retry_key_prefix = std::nullopt;

    friend bool operator==(const problem&, const problem&) = default;
};

/// HTTP status code of a problem document of this kind.
int http_status(problem_kind kind);

/// Human-readable title of a problem document of this kind.
std::string title(problem_kind kind);

} // namespace rattanbay::base
