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

/// What the stages of a request are planned by.
struct stage_plan {
    const relay_state* relay = nullptr;
    const relay::client_request* request = nullptr;
    const config::relay_route* route = nullptr;
    std::shared_ptr<const relay_serving> serving;
    /// 0 goes first.
    int urgency = 0;
    /// Where the request will run.
    base::failure_domain near;
    /// When the request has to begin to meet its objective, and when it is of no use.
    base::time_point due;
    base::time_point latest;
};

/// The stages of one request: has their pieces made in the order in which they need each other, and
/// holds the handles of their results. Runs on the request's executor.
class input_stages : public std::enable_shared_from_this<input_stages> {
public:
    input_stages(std::shared_ptr<piece_router> pieces, asio::any_io_executor executor, stage_plan plan);

    /// Makes all pieces; returns why that failed, or nothing. Ends early when `stop` is called.
    asio::awaitable<std::optional<relay::piece_failure>> make();

    /// Ends a `make` in progress.
    void stop();

    /// Results of the stages that no other stage needs.
    std::vector<std::string> inputs() const;

    /// Time in which an endpoint that was sent these results has fetched them.
    base::duration fetch_time() const;

    /// Milliseconds from the begin of `make` to the begin and the end of each stage, for the log.
    std::string times() const;

    /// Gives all results up.
    void release();

private:
    struct stage_state {
        std::size_t pieces = 0;
        bool begun = false;
        bool made = false;
        std::vector<std::string> handles;
        std::optional<base::time_point> begin_time;
        std::optional<base::time_point> end_time;
        relay::stage_estimate time;
    };

    void begin_ready_stages();
    void begin(std::size_t stage);
    /// Whether a stage whose inputs are there has to begin now, so that it does not hold the others
    /// up.
    bool is_time_for(std::size_t stage) const;
    bool is_needed(std::size_t stage) const;
    base::failure_domain place_of(const relay::stage_order& order) const;
    bool is_whole() const;
    void take(std::size_t stage, const stage_result& result);
    void release_used();
    void release(std::size_t stage);

    std::shared_ptr<piece_router> router_;
    asio::any_io_executor executor_;
    stage_plan plan_;
    asio::steady_timer progress_;
    std::vector<stage_state> stages_;
    base::time_point start_;
    std::optional<relay::piece_failure> failure_;
    bool stopped_ = false;
};

} // namespace rattanbay::daemon::internal
