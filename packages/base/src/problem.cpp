#include <rattanbay/base/problem.hpp>

#include <cassert>

namespace rattanbay::base {

namespace {

/// HTTP status and title of one kind of problem.
struct presentation {
    problem_kind kind;
    int status;
    const char* title;
};

constexpr std::array<presentation, 19> presentations{{
    {problem_kind::malformed_request, 400, "The request is malformed"},
    {problem_kind::unauthenticated, 401, "The account token is missing or unknown"},
    {problem_kind::unknown_pipeline, 404, "There is no such pipeline"},
    {problem_kind::method_not_allowed, 405, "The method is not allowed here"},
    {problem_kind::invalid_idempotency_key, 400, "The idempotency key is invalid"},
    {problem_kind::idempotency_key_required, 400, "This pipeline requires an idempotency key"},
    {problem_kind::idempotency_key_reused, 422, "The idempotency key was used with another body"},
    {problem_kind::body_too_large, 413, "The request body is too large"},
    {problem_kind::request_timeout, 408, "The request did not arrive in time"},
    {problem_kind::deadline_exceeded, 504, "The deadline has passed or cannot be met"},
    {problem_kind::limit_exceeded, 429, "The client account is over its limit"},
    {problem_kind::overloaded, 503, "The system is overloaded"},
    {problem_kind::no_endpoint, 503, "No endpoint can take the request"},
    {problem_kind::prompt_quarantined, 503, "A part of the prompt makes endpoints crash"},
    {problem_kind::stage_failed, 502, "A stage failed"},
    {problem_kind::record_unavailable, 503, "The request could not be recorded"},
    {problem_kind::owner_unreachable, 503, "The VM that the key names cannot be reached"},
    {problem_kind::not_ready, 503, "This VM is not ready"},
    {problem_kind::internal_error, 500, "Internal error"},
}};

const presentation& presentation_of(problem_kind kind) {
    for (const presentation& entry : presentations) {
        if (entry.kind == kind) {
            return entry;
        }
    }
    assert(false && "the problem kind has no status and title");
    return presentations.back();
}

} // namespace

int http_status(problem_kind kind) {
    return presentation_of(kind).status;
}

std::string title(problem_kind kind) {
    return presentation_of(kind).title;
}

} // namespace rattanbay::base
