#pragma once

#include "peer_transport.hpp"
#include "shared_state.hpp"

#include <rattanbay/relay/call_comparison.hpp>
#include <rattanbay/relay/engine_speeds.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace rattanbay::daemon::internal {

/// Learns the speeds of engines together with the other daemons. Each daemon sends what it sees of an engine
/// to the engine's owner, which all derive from the member list. The owner announces its estimate in two
/// hops: the members, in the order of their addresses, fill the rows of a square; the owner tells its row,
/// and each member passes on to its column what it heard in its row. `record_stream` may be called from any
/// thread; everything else runs on the control strand.
class speed_exchange : public std::enable_shared_from_this<speed_exchange> {
public:
    speed_exchange(shared_state& shared, std::shared_ptr<peer_transport> transport, control_strand strand);

    /// Records what an attempt shows.
    void record_stream(stream_observation observation);

    void receive(const peer::speed_samples& message);
    void receive(const peer::speed_announcement& message);

    /// Sends what is due. Does nothing when called again soon.
    void refresh();

private:
    void apply_stream(const stream_observation& observation);
    /// Sends the samples since the last time to the owners of their engines.
    void send_samples();
    void announce();
    void log_change(const relay::engine_slowness& engine);

    shared_state& shared_;
    std::shared_ptr<peer_transport> transport_;
    control_strand strand_;
    relay::call_comparison comparison_;
    std::vector<relay::engine_slowness> samples_;
    /// Announcements of the row that are to be passed on to the column.
    std::map<relay::engine_key, relay::engine_slowness> heard_;
    /// Where the next message to the column begins.
    relay::engine_key next_heard_ = 0;
    /// Last announced steps of the engines that this daemon owns, for the log.
    std::map<relay::engine_key, int> announced_;
    base::time_point last_samples_;
    base::time_point last_announcement_;
};

} // namespace rattanbay::daemon::internal
