#pragma once

#include "admission_gate.hpp"
#include "cold_exchange.hpp"
#include "ledger_driver.hpp"
#include "limit_exchange.hpp"
#include "membership_driver.hpp"
#include "peer_transport.hpp"
#include "piece_router.hpp"
#include "pool_planner.hpp"
#include "quarantine_exchange.hpp"
#include "resource_monitor.hpp"
#include "shared_state.hpp"
#include "speed_exchange.hpp"
#include "state_synchronizer.hpp"
#include "stream_origin_exchange.hpp"

#include <rattanbay/daemon/platform_client.hpp>

#include <memory>

namespace rattanbay::daemon::internal {

/// Background work of a daemon: membership, documents, VM list, ledger, load reports, and detection of
/// isolation and pauses. Runs on the control strand.
class control_plane : public std::enable_shared_from_this<control_plane> {
public:
    control_plane(shared_state& shared, admission_gate& gate, control_strand strand);

    /// Binds the peer address and starts. Errors: `unavailable` if the address cannot be bound.
    base::result<void> start();

    const control_strand& strand() const { return strand_; }

    ledger_driver& ledger() { return *ledger_; }

    /// Router of the pieces for worker pools; null unless the daemon relays requests.
    const std::shared_ptr<piece_router>& pieces() const { return piece_router_; }

    const std::shared_ptr<quarantine_exchange>& quarantine() const { return quarantine_exchange_; }

    /// Null unless the daemon relays requests.
    const std::shared_ptr<stream_origin_exchange>& stream_origins() const { return stream_origin_exchange_; }

    /// Text of the key prefix that a member issues.
    std::string key_prefix_text(const peer::member_record& member) const;

    /// Announces this daemon as draining and gives waiting stages back to the daemons of their requests. Must
    /// be called on the control strand.
    void begin_drain();

    /// Whether stages are in progress at the worker pools that this daemon schedules, or their results have
    /// not been delivered. Must be called on the control strand.
    bool has_stages() const;

    /// Seals the ledger's record and leaves the membership. Must run on the control strand.
    asio::awaitable<void> shut_down();

    /// Closes the sockets. Must be called when no thread runs the I/O context.
    void close_sockets() { transport_->stop(); }

private:
    void handle_datagram(const base::address& from, peer::datagram message);
    asio::awaitable<peer::frame> handle_frame(peer::frame message, std::shared_ptr<requester_link> requester);
    asio::awaitable<peer::frame> handle_forward(peer::forward_request message);
    asio::awaitable<void> supervise();
    asio::awaitable<void> poll_loads();
    asio::awaitable<void> poll_load(routing::endpoint target);
    void check_isolation();
    void update_account_limits();
    void handle_adopted_revision(std::uint64_t revision);

    shared_state& shared_;
    admission_gate& admission_gate_;
    control_strand strand_;
    platform_client platform_;
    std::shared_ptr<peer_transport> transport_;
    resource_monitor resource_monitor_;
    std::unique_ptr<membership_driver> members_;
    std::shared_ptr<state_synchronizer> state_;
    std::shared_ptr<ledger_driver> ledger_;
    std::unique_ptr<pool_planner> pool_planner_;
    std::shared_ptr<piece_pool> piece_pool_;
    std::shared_ptr<piece_router> piece_router_;
    std::shared_ptr<quarantine_exchange> quarantine_exchange_;
    std::shared_ptr<limit_exchange> limit_exchange_;
    /// Null unless the deployment bounds the requests to cold endpoints.
    std::unique_ptr<cold_exchange> cold_exchange_;

    std::shared_ptr<speed_exchange> speed_exchange_;
    std::shared_ptr<stream_origin_exchange> stream_origin_exchange_;
    /// Number of live daemons and revision of the document from which the account limits were last computed.
    std::size_t limits_member_count_ = 0;
    std::uint64_t limits_revision_ = 0;
    bool stopping_ = false;
};

/// Builds the ledger's input for a request with a key. If the pipeline is unknown or the deadline has passed,
/// the problem, with outcome `not_run`, is stored as the refusal.
keyed_run make_keyed_run(shared_state& shared, const ledger::key& key, const base::account_id& account,
                         const caller::run_request& run_request, const std::string& target,
                         const std::string& body, base::time_point now);

} // namespace rattanbay::daemon::internal
