#pragma once

#include "peer_transport.hpp"
#include "pool_planner.hpp"
#include "shared_state.hpp"

#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/telemetry/metrics.hpp>

#include <boost/asio/steady_timer.hpp>
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

/// Request for all pieces of one stage from a worker pool.
struct stage_request {
    base::service_name service;
    relay::stage_order order;
    /// Failure domain in which the pieces should be computed; empty if it is unknown.
    base::failure_domain preferred_domain;
    /// Latest start with which the request meets its latency objective.
    base::time_point target_start;
    /// Latest start with which the results are still useful.
    base::time_point latest_start;
};

/// Handles of the results in the order of the pieces, or the reason for the failure.
using stage_result = tl::expected<std::vector<std::string>, relay::piece_failure>;

/// Receives the result of a stage; runs on the control strand.
using stage_handler = std::function<void(const stage_result&)>;

/// Schedules pieces at the worker pools for which this daemon is the scheduler, and releases their results.
/// Runs on the control strand.
class piece_pool : public std::enable_shared_from_this<piece_pool> {
public:
    piece_pool(shared_state& shared, pool_planner& planner, control_strand strand);

    /// Whether this daemon schedules the pool, or a part of it.
    bool is_scheduler(const base::service_name& service);

    /// Queues the pieces of a stage. A daemon that does not schedule the pool calls all of its endpoints for
    /// a while then, so this is left for stages that can be given to no scheduler. `on_done` is called once,
    /// unless the stage is cancelled.
    relay::stage_id submit(stage_request request, stage_handler on_done);

    /// Cancels a stage and releases its results.
    void cancel(relay::stage_id id);

    /// Tells the holders of results that these are no longer needed.
    void release(const base::service_name& service, const std::vector<std::string>& handles);

    /// Ends the stages of which no piece was sent yet with `scheduler_stopping`.
    void hand_back_waiting();

    /// Whether stages or releases are in progress.
    bool has_work() const { return !stages_.empty() || flush_scheduled_ || open_releases_ > 0; }

private:
    struct stage_job {
        /// Without the inputs, which the pieces hold.
        stage_request request;
        stage_handler on_done;
        std::vector<std::string> handles;
        std::size_t pending_pieces = 0;
        /// Identifier of the first piece; those of the others follow it.
        relay::piece_id first_piece = 0;
        /// Whether a piece was sent.
        bool started = false;
        /// Whether a piece was sent again while its first call was silent.
        bool repeated = false;
    };

    struct piece_job {
        relay::stage_id stage = 0;
        std::size_t piece = 0;
        unsigned attempts = 0;
        /// Number of calls in progress that the piece is part of.
        unsigned calls = 0;
        /// Whether the piece waits in the scheduler.
        bool waiting = true;
    };

    /// Call in progress.
    struct piece_call {
        piece_call(control_strand strand, relay::piece_batch pieces, base::time_point start_time)
            : batch(std::move(pieces))
            , start(start_time)
            , silence_timer(std::move(strand)) {}

        relay::piece_batch batch;
        base::time_point start;
        asio::steady_timer silence_timer;
        /// Connection of the call while it is in use.
        http::client_connection* connection = nullptr;
        /// Whether the call was written, so that its pieces may have run.
        bool sent = false;
        bool silent = false;
        bool ended = false;
        /// Set if the connection was closed because the endpoint has ended.
        std::optional<endpoint_end> end;
    };

    /// Scheduler of one service and its state.
    struct service_queue {
        relay::piece_scheduler scheduler;
        /// Generation of the plans for which the scheduler is configured.
        std::uint64_t configured_for = 0;
        base::duration call_timeout{};
        /// Time until which all endpoints are called though the pool is not scheduled here.
        base::time_point without_shard_until;
        bool wakeup_scheduled = false;
    };

    /// Endpoints that this daemon calls; nothing if another daemon schedules the pool.
    std::optional<std::vector<relay::pool_endpoint>> endpoints_to_call(const base::service_name& service);
    void schedule_without_shard(const base::service_name& service);
    /// Ends the stages of a pool of which no piece was sent yet with `scheduler_stopping`, as another daemon
    /// schedules the pool.
    void hand_back_pool(const base::service_name& service);
    bool configure(const base::service_name& service);
    void dispatch(const base::service_name& service);
    void schedule_wakeup(const base::service_name& service);
    /// Keeps further calls from an endpoint for as long as its limit on requests asks for. One daemon makes
    /// all calls to an endpoint of a pool, so the limit is not divided.
    void pause_limited(const base::service_name& service, const base::endpoint_id& endpoint);
    /// Takes the pieces that are still needed from a batch and marks them as sent.
    relay::piece_batch start_batch(const base::service_name& service, relay::piece_batch batch);
    asio::awaitable<void> send_batch(base::service_name service, relay::piece_batch batch);
    asio::awaitable<base::result<http::response>> exchange_batch(base::service_name service,
                                                                 std::shared_ptr<piece_call> call);
    /// Fails the pieces of a batch that cannot be written, so that the others are sent without them. Returns
    /// whether there were any.
    bool drop_unwritable_pieces(const relay::piece_batch& batch);
    /// Examines a call in progress after a delay.
    void watch_silence(const base::service_name& service, const std::shared_ptr<piece_call>& call,
                       base::duration delay);
    /// Queues pieces of a silent call again if another endpoint and the budget allow it. The call goes on as
    /// long as it is the only one of a piece, as an endpoint may be silent for a while and go on; after
    /// `max_silence` beyond the call's usual time it is closed if its pieces are elsewhere.
    void handle_silence(const base::service_name& service, const std::shared_ptr<piece_call>& call);
    std::size_t replace_pieces(const base::service_name& service, const piece_call& call);
    static void close_call(piece_call& call);
    /// Closes the connection of the call, unless it has unread data.
    static void handle_endpoint_end(piece_call& call, endpoint_end end);
    /// Whether a piece is in no other call and does not wait.
    bool is_only_call(const piece_call& call) const;
    /// Fails a stage whose pieces can no longer start in time, unless all of these are in silent calls.
    void handle_expired_stage(relay::stage_id id);
    void log_call(const base::service_name& service, const relay::piece_batch& batch,
                  relay::attempt_result result, base::time_point start, const std::string& detail);
    relay::attempt_result read_response(const base::service_name& service, const relay::piece_batch& batch,
                                        const base::result<http::response>& response, std::string& detail,
                                        std::vector<relay::held_result>& held);
    void handle_results(const base::service_name& service, const relay::piece_batch& batch,
                        const std::vector<relay::piece_result>& results,
                        std::vector<relay::held_result>& held);
    void retry_batch(const base::service_name& service, const relay::piece_batch& batch,
                     relay::attempt_result result);
    /// Closes the kept connections to an endpoint, as an answer may have been a copy of an earlier one. Each
    /// further answer on its connection would then be taken for that of the next call.
    void distrust_connections(const relay::piece_batch& batch, std::string_view detail);
    /// Records the end of a piece's call and returns the piece if it is neither done nor in another call or
    /// the queue.
    piece_job* end_piece_call(relay::piece_id id);
    void requeue(const base::service_name& service, const relay::waiting_piece& piece,
                 relay::attempt_result result);
    bool try_spend_budget(const base::service_name& service);
    void finish_piece(relay::piece_id id, const std::string& handle);
    void fail_piece(relay::piece_id id, relay::piece_failure failure);
    void fail_stage(relay::stage_id id, relay::piece_failure failure);
    void remove_stage(std::map<relay::stage_id, stage_job>::iterator stage);
    asio::awaitable<void> flush_releases();
    asio::awaitable<void> send_release(base::address holder, std::vector<std::string> handles);

    relay_state& relay_;
    telemetry::metrics& metrics_;
    pool_planner& planner_;
    control_strand strand_;
    const std::uint64_t retry_seed_;
    relay::stage_id last_stage_id_ = 0;
    relay::piece_id last_piece_id_ = 0;
    std::map<relay::stage_id, stage_job> stages_;
    std::map<relay::piece_id, piece_job> pieces_;
    std::map<base::service_name, service_queue> queues_;
    std::map<base::address, std::vector<std::string>> releases_;
    /// Connections of calls that release results. Their answers cannot be told from those of other calls, so
    /// that they do not share connections with them.
    http::connection_pool release_connections_;
    bool flush_scheduled_ = false;
    /// Number of calls in progress that release results.
    std::size_t open_releases_ = 0;
    /// Whether the waiting stages were given back, as the daemon is stopping.
    bool handed_back_ = false;
};

} // namespace rattanbay::daemon::internal
