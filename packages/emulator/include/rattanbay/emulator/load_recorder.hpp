#pragma once

#include <rattanbay/emulator/answer_check.hpp>
#include <rattanbay/emulator/load_report.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::emulator {

/// Result of one request.
struct request_result {
    /// Index of its pipeline.
    std::size_t pipeline = 0;
    /// Time from the scheduled arrival to the end of the request.
    base::duration latency{};
    /// Time from the scheduled arrival to the first token; set for streams that delivered a token.
    std::optional<base::duration> first_token = std::nullopt;
    bool before_deadline = false;
    /// Absent if no complete answer was received.
    std::optional<answer_verdict> verdict = std::nullopt;
    /// Type of the problem that ended the request, "no_answer" if there was no response.
    std::string problem = {};
    base::outcome outcome = base::outcome::unknown;
    std::size_t send_count = 0;
    /// Idempotency keys of a non-idempotent request.
    std::vector<std::string> keys = {};
};

/// Aggregates the results of requests into a report.
class load_recorder {
public:
    explicit load_recorder(std::vector<pipeline_load> pipelines);

    void add(const request_result& result);

    void count_dropped() { ++report_.dropped; }

    void count_entry_call() { ++report_.entry_calls; }

    /// Returns the report of the results so far for a run of this duration.
    load_report report(base::duration elapsed) const;

private:
    /// Latency samples of one row of the report.
    struct latency_samples {
        std::vector<base::duration> latency;
        std::vector<base::duration> first_token;
    };

    static void add_to(pipeline_summary& row, latency_samples& samples, const request_result& result);

    std::vector<pipeline_load> pipelines_;
    load_report report_;
    latency_samples total_samples_;
    std::vector<latency_samples> pipeline_samples_;
};

} // namespace rattanbay::emulator
