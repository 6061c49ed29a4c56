#pragma once

#include "piece_pool.hpp"
#include "pool_planner.hpp"
#include "shared_state.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// Sends the stages of this daemon's requests to the daemons that schedule their worker pools, as planned by
/// `pool_planner`. Daemons with the same members have the same plan, so pieces of all requests share calls.
/// If a scheduler cannot be reached, the plan of this daemon leaves it out and the stage goes to the next
/// one. A daemon that is asked although it does not schedule the pool passes the stage on. `submit`, `cancel`
/// and `release` may be called from any thread; everything else runs on the control strand.
class piece_router : public std::enable_shared_from_this<piece_router> {
public:
    piece_router(shared_state& shared, pool_planner& planner, piece_pool& pool, peer_transport& transport,
                 control_strand strand);

    /// Submits the pieces of a stage to their scheduler. `on_done` is called once, on the control strand,
    /// unless the stage is cancelled first.
    std::shared_ptr<exchange_handle> submit(stage_request request, stage_handler on_done,
                                            std::uint32_t forwards = 0);

    /// Cancels a stage that is no longer needed, wherever it is scheduled.
    void cancel(std::shared_ptr<exchange_handle> ticket);

    /// Releases results that are no longer needed.
    void release(base::service_name service, std::vector<std::string> handles);

    /// Handles a request for pieces from a daemon that considers this one the scheduler. The stage is
    /// cancelled and its results are released if the other daemon gives it up.
    asio::awaitable<peer::frame> handle_make_pieces(peer::make_pieces message,
                                                    std::shared_ptr<requester_link> requester);

    /// Gives the stages that wait here back to the daemons of their requests, and takes no more of these.
    void begin_drain();

    /// Whether stages are in progress here, or their results have not been delivered.
    bool has_work() const;

    /// Releases results of another daemon's requests.
    void handle_release(const peer::release_pieces& message);

private:
    /// A stage of this daemon's requests and the schedulers that have it.
    struct stage_submission {
        stage_request request;
        stage_handler on_done;
        std::shared_ptr<exchange_handle> ticket;
        /// Daemons that have the stage now, and those whose connection broke once.
        std::set<base::incarnation> holders;
        std::set<base::incarnation> broken;
        /// Number of daemons that passed the stage on before.
        std::uint32_t forwards = 0;
        /// Exchanges in progress with other daemons, and the stage at this daemon.
        std::vector<std::shared_ptr<exchange_handle>> exchanges;
        std::optional<relay::stage_id> own;
        bool ended = false;

        bool is_in_progress() const { return !exchanges.empty() || own.has_value(); }
    };

    /// Daemons to try as schedulers of a shard, in order; none if there is no shard. The list ends with this
    /// daemon if it is among them.
    std::vector<peer::member_record> schedulers_of(const membership::pool_shard* shard);
    /// Daemon that schedules a stage by the current plan; nothing if this daemon knows none.
    std::optional<peer::member_record> scheduler_for(const stage_request& request);
    void mark_unreachable(const peer::member_record& scheduler);
    /// Gives the stage to its scheduler. What each attempt finds changes the plan of this daemon, so that all
    /// daemons that cannot reach a scheduler go down the ranking to the same next one. A daemon that has just
    /// started waits if it knows no scheduler. A stage that another scheduler still has is only given to
    /// further ones.
    asio::awaitable<void> submit_with_failover(std::shared_ptr<stage_submission> stage);
    /// Also ends the stage if an exception ends its submission.
    asio::awaitable<void> submit_or_fail(std::shared_ptr<stage_submission> stage);
    /// Schedules the stage at this daemon.
    void submit_to_own(const std::shared_ptr<stage_submission>& stage);
    /// Ends the stage with its result, unless it has one already. A failure ends it only if no other
    /// scheduler has the stage.
    void finish(const std::shared_ptr<stage_submission>& stage, const stage_result& result);
    /// Whether the budget of repeats allows the pieces of the stage to be made twice.
    bool try_spend_budget(const stage_request& request);
    void record_stage(const base::service_name& service, std::string_view scheduler,
                      const stage_result& result);
    /// Gives the stage to another daemon and waits for its answer. Returns false if it gave none, so that the
    /// stage needs another scheduler.
    asio::awaitable<bool> submit_to_peer(peer::member_record scheduler,
                                         std::shared_ptr<stage_submission> stage);
    /// Handles the answer of a scheduler. Returns false if it gave the stage back.
    bool handle_answer(const std::shared_ptr<stage_submission>& stage, const peer::pieces_made& made);
    /// Reports stages of other daemons that were passed on, at most once a second for each service.
    void report_forwarded(const base::service_name& service);
    /// Splits the results by the shards whose endpoints hold them.
    void release_by_shard(const base::service_name& service, const std::vector<std::string>& handles);
    asio::awaitable<void> release_with_failover(peer::release_pieces message,
                                                std::vector<peer::member_record> schedulers);
    /// Watches the scheduler of a stage. When it is suspected, the stage is also given to the next one if the
    /// budget allows it, as a scheduler that is only slow goes on with its work. When it is gone, the
    /// exchange with it is cancelled.
    asio::awaitable<void> watch_scheduler(peer::member_record scheduler,
                                          std::shared_ptr<exchange_handle> handle,
                                          std::shared_ptr<stage_submission> stage);
    void replace_scheduler(const peer::member_record& scheduler,
                           const std::shared_ptr<stage_submission>& stage);

    shared_state& shared_;
    pool_planner& planner_;
    piece_pool& pool_;
    peer_transport& transport_;
    control_strand strand_;
    bool draining_ = false;
    /// Daemons that could not be reached, with the time until which they are skipped.
    std::map<base::address, base::time_point> unreachable_until_;

    /// Stages passed on since the last report, and the time of that report.
    struct forward_report {
        std::size_t stages = 0;
        std::optional<base::time_point> reported_at;
    };

    std::map<base::service_name, forward_report> forwarded_;
};

} // namespace rattanbay::daemon::internal
