#pragma once

#include "peer_broadcaster.hpp"
#include "shared_state.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
/// all daemons quarantine the same parts and continue the same schedule of trials. `receive` and `refresh`
/// run on the control strand; everything else may be called from any thread.
class quarantine_exchange : public std::enable_shared_from_this<quarantine_exchange> {
public:
    quarantine_exchange(shared_state& shared, std::shared_ptr<peer_transport> transport,
                        std::shared_ptr<peer_broadcaster> broadcaster, control_strand strand);

    /// Checks whether an endpoint has crashed after its connection broke before or at the start of its answer
    /// to a request with these parts, and reports the crash.
    void check_endpoint(const relay::chosen_endpoint& endpoint, const base::request_id& request,
                        std::vector<relay::part_key> parts);

    /// Records an answer to a request with these parts that is complete or past its start.
    void record_answer(const std::vector<relay::part_key>& parts);

    /// Decides whether a request with these parts may be sent to an endpoint.
    part_admission admit(const std::vector<relay::part_key>& parts);

    /// Handles a message of another daemon.
    void receive(const peer::crash_report& message);
    void receive(const peer::part_clearance& message);
    void receive(const base::address& from, const peer::part_notice& message);

    /// Takes note of the members and tells one of them, chosen at random, what is known of suspected and
    /// quarantined parts, so that all learn it though datagrams are lost. To be called every 0.25 s.
    void refresh();

private:
    /// Whether this daemon may let trials pass and one of these parts is due. The others are told then.
    bool try_begin_trial(const std::vector<relay::part_key>& parts);
    void observe_members();
    void tell_one_member();
    /// Checks an endpoint and reports its crash, or adds the parts to the check that is under way: all
    /// requests that a crash breaks off are one piece of evidence.
    asio::awaitable<void> join_check(relay::chosen_endpoint endpoint, base::request_id request,
                                     std::vector<relay::part_key> parts);
    asio::awaitable<bool> refuses_connections(base::address endpoint);
    asio::awaitable<bool> has_crashed(base::address endpoint);
    void report_crash(const relay::chosen_endpoint& endpoint, const base::request_id& request,
                      const std::vector<relay::part_key>& parts);
    /// Returns the parts that are quarantined because of the crash.
    std::vector<relay::part_key> record_crash(const base::endpoint_id& endpoint,
                                              const std::vector<relay::part_key>& parts);

    shared_state& shared_;
    std::shared_ptr<peer_transport> transport_;
    std::shared_ptr<peer_broadcaster> broadcaster_;
    control_strand strand_;
    base::random_source random_;
    relay::trial_turn turn_;
    base::time_point last_told_;
    /// Last part that was told; a datagram has room for some parts only.
    relay::part_key last_told_part_ = 0;
    /// Endpoints that are being checked, with the parts of the requests that broke off; used on the strand.
    std::map<base::endpoint_id, std::set<relay::part_key>> checks_;
    /// Identifiers of the reports of other daemons received last.
    std::deque<std::uint64_t> reports_;
};

} // namespace rattanbay::daemon::internal
