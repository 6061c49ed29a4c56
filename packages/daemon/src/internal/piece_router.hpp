#pragma once

#include "piece_pool.hpp"
#include "pool_planner.hpp"
#include "shared_state.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// Sends the stages of this daemon's requests to the daemons that schedule their worker pools, as planned by
/// `pool_planner`. Daemons with the same members have the same plan, so pieces of all requests share calls.
/// If the scheduler of a shard cannot be reached, its fallbacks are tried; if none of them can be reached,
/// this daemon schedules the pieces itself. `submit`, `cancel` and `release` may be called from any thread;
/// everything else runs on the control strand.
class piece_router : public std::enable_shared_from_this<piece_router> {
public:
    piece_router(shared_state& shared, pool_planner& planner, piece_pool& pool, peer_transport& transport,
                 control_strand strand);

    /// Submits the pieces of a stage to their scheduler. `on_done` is called once, on the control strand,
    /// unless the stage is cancelled first.
    std::shared_ptr<exchange_handle> submit(stage_request request, stage_handler on_done);

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
    /// Daemons to try as schedulers of a shard, in order; none if there is no shard. The list ends with this
    /// daemon if it is among them.
    std::vector<peer::member_record> schedulers_of(const membership::pool_shard* shard);
    /// Daemons to try as schedulers of a stage, in order.
    std::vector<peer::member_record> schedulers_for(const stage_request& request);
    void mark_unreachable(const peer::member_record& scheduler);
    asio::awaitable<void> submit_with_failover(stage_request request, stage_handler on_done,
                                               std::shared_ptr<exchange_handle> ticket);
    void record_stage(const base::service_name& service, std::string_view scheduler,
                      const stage_result& result);
    /// Returns false, without calling `on_done`, if the other daemon could not be reached. `on_done` is not
    /// called either if the ticket is cancelled.
    asio::awaitable<bool> submit_to_peer(peer::member_record scheduler, const stage_request& request,
                                         const stage_handler& on_done,
                                         std::shared_ptr<exchange_handle> ticket);
    /// Splits the results by the shards whose endpoints hold them.
    void release_by_shard(const base::service_name& service, const std::vector<std::string>& handles);
    asio::awaitable<void> release_with_failover(peer::release_pieces message,
                                                std::vector<peer::member_record> schedulers);
    /// Cancels the exchange when the scheduler is no longer a live member.
    asio::awaitable<void> cancel_when_lost(peer::member_record scheduler,
                                           std::shared_ptr<exchange_handle> handle);

    shared_state& shared_;
    pool_planner& planner_;
    piece_pool& pool_;
    peer_transport& transport_;
    control_strand strand_;
    bool draining_ = false;
    /// Daemons that could not be reached, with the time until which they are skipped.
    std::map<base::address, base::time_point> unreachable_until_;
};

} // namespace rattanbay::daemon::internal
