#pragma once

#include "peer_broadcaster.hpp"
#include "shared_state.hpp"

#include <rattanbay/membership.hpp>

#include <map>
#include <memory>

namespace rattanbay::daemon::internal {

/// Tells the other daemons which endpoints were found to be cold or could not be reached, and decides to
/// which cold endpoints this daemon may send. For each of them a few daemons, which all derive from the
/// member list, share what it may get. Runs on the control strand.
class cold_exchange {
public:
    cold_exchange(shared_state& shared, std::shared_ptr<peer_broadcaster> broadcaster);

    void receive(const peer::cold_report& message);

    /// Tells what is new and adjusts the shares to the member list; called several times a second.
    void refresh();

private:
    void announce();
    void set_senders(const std::map<base::endpoint_id, std::size_t>& cold, bool may_send);

    shared_state& shared_;
    const std::shared_ptr<peer_broadcaster> broadcaster_;
    membership::view_check view_;
    std::size_t logged_count_ = 0;
    base::time_point logged_at_;
};

} // namespace rattanbay::daemon::internal
