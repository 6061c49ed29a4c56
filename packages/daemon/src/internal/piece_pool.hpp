#pragma once

#include "peer_transport.hpp"
#include "relay_state.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanbay::daemon::internal {

/// What a request asks of a worker pool: all pieces of one of its stages.
struct stage_request {
    base::service_name service;
    relay::stage_order order;
    /// Where the results will be used; empty when that is not known.
    base::failure_domain near;
    /// When the pieces have to begin for the request to meet its objective.
    base::time_point due;
    /// When the pieces are of no use any more.
    base::time_point latest;
};

/// Handles of the results in the order of the pieces, or why there are none.
using stage_result = tl::expected<std::vector<std::string>, relay::piece_failure>;

/// Takes what became of a stage; runs on the control strand.
using stage_handler = std::function<void(const stage_result&)>;

/// Has pieces made by the worker pools that this daemon schedules, and gives results up. It runs on
/// the control strand.
class piece_pool : public std::enable_shared_from_this<piece_pool> {
public:
    piece_pool(relay_state& relay, control_strand strand);

    /// Queues the pieces of a stage. `done` is called once, unless the stage is cancelled.
    relay::stage_id make(stage_request request, stage_handler done);

    /// Gives a stage up.
    void cancel(relay::stage_id ticket);

    /// Tells the holders of results that they are no longer needed.
    void release(const base::service_name& service, const std::vector<std::string>& handles);

private:
    struct stage_job {
        stage_request request;
        stage_handler done;
        std::vector<std::string> handles;
        std::size_t missing = 0;
    };

    struct piece_job {
        relay::stage_id stage = 0;
        std::size_t piece = 0;
        unsigned tries = 0;
    };

    /// Calls to one service.
    struct line {
        relay::piece_scheduler scheduler;
        /// Document revision and VM list version that the scheduler was configured for.
        std::pair<std::uint64_t, std::uint64_t> configured;
        base::duration call_limit{};
        bool wakeup_set = false;
    };

    bool configure(const base::service_name& service);
    void pump(const base::service_name& service);
    void wake_later(const base::service_name& service);
    asio::awaitable<void> call(base::service_name service, relay::piece_batch batch);
    void log_call(const base::service_name& service, const relay::piece_batch& batch,
                  relay::attempt_result end, base::time_point start, const std::string& detail);
    relay::attempt_result read_answer(const base::service_name& service, const relay::piece_batch& batch,
                                      const base::result<http::response>& answer, std::string& detail,
                                      std::vector<relay::held_result>& held);
    void take_results(const base::service_name& service, const relay::piece_batch& batch,
                      const std::vector<relay::piece_result>& results, std::vector<relay::held_result>& held);
    void try_again(const base::service_name& service, relay::piece_batch batch, relay::attempt_result end);
    bool may_repeat(const base::service_name& service);
    void finish_piece(relay::piece_id ticket, const std::string& handle);
    void fail_piece(relay::piece_id ticket, relay::piece_failure failure);
    void fail_stage(relay::stage_id ticket, relay::piece_failure failure);
    void drop(std::map<relay::stage_id, stage_job>::iterator stage);
    asio::awaitable<void> flush_releases();
    asio::awaitable<void> send_release(base::address holder, std::vector<std::string> handles);

    relay_state& relay_;
    control_strand strand_;
    relay::stage_id stage_tickets_ = 0;
    relay::piece_id piece_tickets_ = 0;
    std::map<relay::stage_id, stage_job> stages_;
    std::map<relay::piece_id, piece_job> pieces_;
    std::map<base::service_name, line> lines_;
    std::map<base::address, std::vector<std::string>> releases_;
    bool releasing_ = false;
};

} // namespace rattanbay::daemon::internal
