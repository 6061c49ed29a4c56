#pragma once

#include "admission_gate.hpp"
#include "ledger_keeper.hpp"
#include "membership_driver.hpp"
#include "peer_transport.hpp"
#include "piece_router.hpp"
#include "shared_state.hpp"
#include "state_synchronizer.hpp"

#include <rattanbay/daemon/platform_client.hpp>

#include <memory>

namespace rattanbay::daemon::internal {

/// The control work of a daemon, on one strand: members, documents, VM list, ledger, load reports
/// and the checks for isolation and pauses.
class control : public std::enable_shared_from_this<control> {
public:
    control(shared_state& shared, admission_gate& gate, control_strand strand);

    /// Binds the peer address and starts. Errors: `unavailable`.
    base::result<void> start();

    const control_strand& strand() const { return strand_; }

    ledger_keeper& ledger() { return *ledger_; }

    /// Null unless the daemon relays requests.
    const std::shared_ptr<piece_router>& pieces() const { return piece_router_; }

    /// Text of the key prefix that a member hands out.
    std::string prefix_text(const peer::member_record& member) const;

    /// Marks this daemon as draining; runs on the control strand.
    void begin_drain();

    /// Seals the ledger's record and leaves the members; runs on the control strand.
    asio::awaitable<void> finish();

    /// Closes the sockets; called when no thread runs the context.
    void abandon() { transport_->stop(); }

private:
    asio::awaitable<peer::frame> answer_frame(peer::frame message);
    asio::awaitable<peer::frame> answer_forward(peer::forward_request message);
    asio::awaitable<void> supervise();
    asio::awaitable<void> poll_loads();
    asio::awaitable<void> poll_load(routing::endpoint target);
    void check_isolation();
    void divide_limits();
    void take_revision(std::uint64_t revision);

    shared_state& shared_;
    admission_gate& gate_;
    control_strand strand_;
    platform_client platform_;
    std::shared_ptr<peer_transport> transport_;
    std::unique_ptr<membership_driver> members_;
    std::shared_ptr<state_synchronizer> state_;
    std::shared_ptr<ledger_keeper> ledger_;
    std::shared_ptr<piece_pool> piece_pool_;
    std::shared_ptr<piece_router> piece_router_;
    /// Live daemons by which the accounts' limits are divided now, and the document they are of.
    std::size_t live_members_ = 0;
    std::uint64_t limits_revision_ = 0;
    bool finished_ = false;
};

/// Builds what the ledger needs from a request with a key; `not_run` problems of the request are
/// put into its refusal.
keyed_run make_keyed_run(shared_state& shared, const ledger::key& key, const base::account_id& account,
                         const caller::run_request& parsed, const std::string& target,
                         const std::string& body, base::time_point now);

} // namespace rattanbay::daemon::internal
