#include <rattanbay/caller/problem_document.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::caller {

std::string problem_body(const base::problem& problem, const base::request_id& id) {
    nlohmann::ordered_json body;
    body["type"] = "urn:rattanbay:problem:" + std::string(base::to_name(problem.kind));
    body["title"] = base::title(problem.kind);
    body["status"] = base::http_status(problem.kind);
    body["detail"] = problem.detail;
    body["outcome"] = base::to_name(problem.outcome);
    if (!id.empty()) {
        body["request_id"] = id.text();
    }
    if (problem.retry_key_prefix) {
        body["retry_key_prefix"] = *problem.retry_key_prefix;
    }
    // Details can quote bytes of the request, which need not be valid UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::response problem_response(const base::problem& problem, const base::request_id& id) {
    http::response response;
    response.status = base::http_status(problem.kind);
    response.fields.add("Content-Type", "application/problem+json");
    if (!id.empty()) {
        response.fields.add("X-Request-Id", id.text());
    }
    response.body = problem_body(problem, id);
    return response;
}

base::problem rejection_problem(const base::error& error) {
    // A copy of a request that is too slow or too large here may have run at another VM, so its outcome is
    // unknown. Bytes that are not an HTTP request cannot run anywhere.
    if (error.code == base::error_code::exhausted) {
        return base::problem{base::problem_kind::body_too_large, base::outcome::unknown, error.message,
                             std::nullopt};
    }
    if (error.code == base::error_code::timed_out) {
        return base::problem{base::problem_kind::request_timeout, base::outcome::unknown, error.message,
                             std::nullopt};
    }
    if (error.code == base::error_code::unavailable) {
        return base::problem{base::problem_kind::internal_error, base::outcome::unknown, error.message,
                             std::nullopt};
    }
    if (error.code == base::error_code::overloaded) {
        return base::problem{base::problem_kind::overloaded, base::outcome::not_run, error.message,
                             std::nullopt};
    }
    return base::problem{base::problem_kind::malformed_request, base::outcome::not_run, error.message,
                         std::nullopt};
}

} // namespace rattanbay::caller
