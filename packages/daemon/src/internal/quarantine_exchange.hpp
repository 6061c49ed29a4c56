#pragma once

#include "peer_broadcaster.hpp"
#include "shared_state.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace rattanbay::daemon::internal {

/// Decision about a request by its prompt parts.
struct part_admission {
    /// Whether the request is the trial of a quarantined part.
    bool is_trial = false;
    /// Time after which the client may retry, if the request is refused.
    std::optional<base::duration> refusal_delay;
};

/// Finds crashed endpoints and shares with the other daemons which prompt parts their requests had, so that
/// all daemons quarantine the same parts. `receive` runs on the control strand; everything else may be called
/// from any thread.
class quarantine_exchange : public std::enable_shared_from_this<quarantine_exchange> {
public:
    quarantine_exchange(shared_state& shared, std::shared_ptr<peer_broadcaster> broadcaster,
                        control_strand strand);

    /// Checks whether an endpoint has crashed after its connection broke before it had begun to answer a
    /// request with these parts, and reports the crash.
    void check_endpoint(const relay::chosen_endpoint& endpoint, const base::request_id& request,
                        std::vector<relay::part_key> parts);

    /// Records that an endpoint has begun to answer a request with these parts.
    void record_answer(const std::vector<relay::part_key>& parts);

    /// Decides whether a request with these parts may be sent to an endpoint.
    part_admission admit(const std::vector<relay::part_key>& parts);

    /// Handles a message of another daemon.
    void receive(const peer::crash_report& message);
    void receive(const peer::part_clearance& message);

private:
    /// Whether this daemon owns the part and a trial of it is due.
    bool try_begin_trial(relay::part_key part, const std::vector<relay::part_key>& parts);
    asio::awaitable<bool> is_crashed(base::address endpoint);
    asio::awaitable<void> report_if_crashed(relay::chosen_endpoint endpoint, base::request_id request,
                                            std::vector<relay::part_key> parts);
    void record_crash(const base::endpoint_id& endpoint, const std::vector<relay::part_key>& parts);

    shared_state& shared_;
    std::shared_ptr<peer_broadcaster> broadcaster_;
    control_strand strand_;
    base::random_source random_;
    /// Identifiers of the reports of other daemons received last.
    std::deque<std::uint64_t> reports_;
};

} // namespace rattanbay::daemon::internal
