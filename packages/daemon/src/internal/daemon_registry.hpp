#pragma once

#include "platform_session.hpp"
#include "shared_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace rattanbay::daemon::internal {

/// Registers this daemon's address in the platform and finds other daemons there, for daemons none of whose
/// seeds is available. Runs on the control strand.
class daemon_registry : public std::enable_shared_from_this<daemon_registry> {
public:
    /// Called with the address of a registered daemon that is not a member.
    using discovery_handler = std::function<asio::awaitable<void>(base::address)>;

    daemon_registry(shared_state& shared, control_strand strand, platform_session& platform,
                    discovery_handler on_discovered);

    void start();

private:
    asio::awaitable<void> run();
    /// Reads all entries and reports the daemons that are no members.
    asio::awaitable<void> discover();
    /// Writes the daemon's entry unless it is there, until the store of the newest era has answered.
    asio::awaitable<void> register_self();
    /// Writes the entry again after the store came back from a copy, which may not contain it.
    void register_again();
    bool is_member(const base::address& peer_address) const;

    shared_state& shared_;
    control_strand strand_;
    platform_session& platform_;
    discovery_handler on_discovered_;
    bool registering_ = false;
};

} // namespace rattanbay::daemon::internal
