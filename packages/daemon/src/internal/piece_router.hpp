#pragma once

#include "piece_pool.hpp"
#include "shared_state.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// Sends the stages of this daemon's requests to the daemon that schedules their worker pool. All
/// daemons choose the same one for a service as long as they know the same members; pieces of all
/// requests then share calls. The next daemons in the order take its place while it cannot be reached;
/// when they cannot be either, this one has the pieces made itself. All public functions may be called
/// by any thread; the rest runs on the control strand.
class piece_router : public std::enable_shared_from_this<piece_router> {
public:
    piece_router(shared_state& shared, piece_pool& pool, peer_transport& transport, control_strand strand);

    /// Has the pieces of a stage made. `done` is called once, on the control strand.
    void make(stage_request request, stage_handler done);

    /// Tells that results are no longer needed.
    void release(base::service_name service, std::vector<std::string> handles);

    /// Answers another daemon that takes this one for the scheduling one.
    asio::awaitable<peer::frame> answer(peer::make_pieces message);

    /// Takes results of another daemon's requests that are no longer needed.
    void take_release(const peer::release_pieces& message);

private:
    /// Daemons to ask for a service's pieces, in turn; this daemon is the last one when it is among
    /// them.
    std::vector<peer::member_record> schedulers_of(const base::service_name& service);
    void avoid(const peer::member_record& scheduler);
    asio::awaitable<void> make_somewhere(stage_request request, stage_handler done);
    /// False when the other daemon could not be reached; `done` was not called then.
    asio::awaitable<bool> make_remotely(peer::member_record scheduler, const stage_request& request,
                                        const stage_handler& done);
    asio::awaitable<void> release_somewhere(peer::release_pieces message);
    asio::awaitable<void> watch(peer::member_record scheduler, std::shared_ptr<exchange_handle> handle);

    shared_state& shared_;
    piece_pool& pool_;
    peer_transport& transport_;
    control_strand strand_;
    /// Until when daemons that could not be reached are passed over.
    std::map<base::address, base::time_point> avoided_;
};

} // namespace rattanbay::daemon::internal
