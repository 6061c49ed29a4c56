#pragma once

#include "peer_broadcaster.hpp"
#include "shared_state.hpp"

#include <rattanbay/relay/endpoint_limits.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Shares with the other daemons which limits endpoints name for the requests of all daemons together, and
/// sets this daemon's share. For each such endpoint, a few daemons, which all derive from the member list,
/// share its limit, and the others use other endpoints. `record_answer` may be called from any thread;
/// everything else runs on the control strand.
class limit_exchange : public std::enable_shared_from_this<limit_exchange> {
public:
    limit_exchange(shared_state& shared, std::shared_ptr<peer_broadcaster> broadcaster,
                   control_strand strand);

    /// Records the limit that an endpoint names in an answer, or nothing if it names none.
    void record_answer(const base::endpoint_id& endpoint, std::optional<double> limit);

    void receive(const peer::limit_report& message);

    /// Forgets limits that were not confirmed in time and adjusts the shares to the member list. Does nothing
    /// when called again soon.
    void refresh();

private:
    void apply_answer(const base::endpoint_id& endpoint, std::optional<double> limit);
    /// Sets or ends the limit of this daemon's requests, as the known limits say.
    void apply_limit(const base::endpoint_id& endpoint, std::string_view source);
    void set_share(const relay::endpoint_limit& limit);

    shared_state& shared_;
    std::shared_ptr<peer_broadcaster> broadcaster_;
    control_strand strand_;
    relay::endpoint_limits limits_;
    base::time_point last_refresh_;
    /// Number of known limits. Answers without a limit are of no interest while there are none.
    std::atomic<std::size_t> count_{0};
};

} // namespace rattanbay::daemon::internal
