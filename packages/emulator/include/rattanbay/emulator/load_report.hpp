#pragma once

#include <rattanbay/base/outcome.hpp>
#include <rattanbay/base/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanbay::emulator {

/// Latency percentiles in milliseconds; 0 without samples.
struct latency_summary {
    double p50_ms = 0;
    double p95_ms = 0;
    double p99_ms = 0;

    /// Computes the percentiles by the nearest-rank method.
    static latency_summary of(std::vector<base::duration> times);
};

/// Aggregated results of one pipeline or of all pipelines.
struct pipeline_summary {
    /// Name of the pipeline; "all" for the total.
    std::string pipeline;
    /// Requests that arrived and were not dropped by the generator.
    std::uint64_t requests = 0;
    /// Correct answers within the deadline.
    std::uint64_t attained = 0;
    /// Correct answers after the deadline.
    std::uint64_t late = 0;
    /// Incomplete, crossed or malformed answers.
    std::uint64_t wrong = 0;
    /// Requests that ended with a problem document.
    std::uint64_t refused = 0;
    /// Requests that ended without an answer.
    std::uint64_t unanswered = 0;
    /// Number of repeated sends.
    std::uint64_t resends = 0;
    /// Time from the scheduled arrival to the end of the answer; correct answers only.
    latency_summary latency;
    /// Time from the scheduled arrival to the first token; streams with correct answers only.
    latency_summary first_token;

    /// Fraction of the requests answered correctly within the deadline; 1 without requests.
    double attainment() const;
};

/// Result of a non-idempotent request.
struct keyed_result {
    /// Idempotency keys used, in order.
    std::vector<std::string> keys;
    base::outcome outcome = base::outcome::unknown;
    /// Type of the final problem document; empty on success.
    std::string problem;
};

/// Results of a run of the load generator.
struct load_report {
    /// Duration of the run up to the end of the last request.
    base::duration elapsed{};
    pipeline_summary total;
    std::vector<pipeline_summary> pipelines;
    /// Arrivals dropped because `max_in_progress` requests were running.
    std::uint64_t dropped = 0;
    /// Requests for the entry list.
    std::uint64_t entry_calls = 0;
    /// Wrong answers by verdict.
    std::map<std::string, std::uint64_t> wrong_answers;
    /// Failed requests by problem type; "no_answer" if there was no response.
    std::map<std::string, std::uint64_t> problems;
    /// Non-idempotent requests by outcome.
    std::map<base::outcome, std::uint64_t> outcomes;
    std::vector<keyed_result> keyed_requests;

    /// Requests answered correctly within the deadline, per second of the run.
    double goodput() const;

    nlohmann::json to_json() const;

    /// Formats the report as a text table.
    std::string to_table() const;
};

} // namespace rattanbay::emulator
