#pragma once

#include "piece_router.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// Parameters for running the stages of a request.
struct stage_plan {
    const relay_state* relay = nullptr;
    const relay::client_request* request = nullptr;
    const config::relay_route* route = nullptr;
    std::shared_ptr<const relay_serving_state> serving;
    /// Scheduling priority; 0 is served first.
    int urgency = 0;
    /// Failure domain in which the request is expected to run.
    base::failure_domain preferred_domain;
    /// Latest start with which the request meets its latency objective, and with which its result is useful.
    base::time_point target_start;
    base::time_point latest_start;
};

/// Runs the input stages of one request in the order of their dependencies and holds the handles of their
/// results. Runs on the request's executor.
class input_stages : public std::enable_shared_from_this<input_stages> {
public:
    input_stages(std::shared_ptr<piece_router> router, asio::any_io_executor executor, stage_plan plan);

    /// Runs all stages; returns the reason for a failure, or nothing. Returns early when `stop` is called.
    asio::awaitable<std::optional<relay::piece_failure>> run();

    /// Ends a `run` in progress.
    void stop();

    /// Whether all inputs exist: the stages are complete, and their results were not released and have not
    /// expired at their holders.
    bool has_inputs(base::time_point now) const;

    /// Whether the stages could be run from the beginning and the request be started in time.
    bool can_run_in_time(base::time_point now) const;

    /// Handles of the results of the stages on which no other stage depends. Must not be called after
    /// `release`.
    std::vector<std::string> inputs() const;

    /// Estimated time for an endpoint to receive the request and fetch these results.
    base::duration estimate_fetch_time() const;

    /// Start and end of each stage in milliseconds since the start of `run`, for the log.
    std::string timings() const;

    /// Cancels the stages in progress and releases all results.
    void release();

private:
    struct stage_state {
        std::size_t pieces = 0;
        bool started = false;
        bool completed = false;
        std::vector<std::string> handles;
        /// Cancels the stage while it is in progress.
        std::shared_ptr<exchange_handle> ticket;
        std::optional<base::time_point> start_time;
        std::optional<base::time_point> end_time;
        relay::stage_estimate estimate;
    };

    void start_ready_stages();
    void start_stage(std::size_t stage);
    /// Whether a stage with complete inputs has to start now in order not to delay the concurrent stages.
    bool should_start(std::size_t stage) const;
    bool has_dependents(std::size_t stage) const;
    base::failure_domain preferred_domain_for(const relay::stage_order& order) const;
    bool is_complete() const;
    void handle_result(std::size_t stage, const stage_result& result);
    void release_consumed();
    void release(std::size_t stage);

    std::shared_ptr<piece_router> router_;
    asio::any_io_executor executor_;
    stage_plan plan_;
    asio::steady_timer progress_timer_;
    std::vector<stage_state> stages_;
    base::time_point start_;
    std::optional<relay::piece_failure> failure_;
    bool stopped_ = false;
    bool released_ = false;
};

} // namespace rattanbay::daemon::internal
