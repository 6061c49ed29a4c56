#pragma once

#include "peer_transport.hpp"
#include "shared_state.hpp"
#include "wakeup_timer.hpp"

#include <rattanbay/membership.hpp>

#include <functional>

namespace rattanbay::daemon::internal {

/// Drives the failure detector on the control strand and publishes the member view.
class membership_driver {
public:
    /// Called with the revision and the peer address when a member has a higher revision than this daemon.
    using revision_handler = std::function<void(std::uint64_t, const base::address&)>;

    /// Called with the version of a change that a member's VM list contains and this daemon's may not.
    using vm_list_change_handler = std::function<void(const object_api::store_revision&)>;

    membership_driver(shared_state& shared, control_strand strand, peer_transport& transport,
                      revision_handler on_revision, vm_list_change_handler on_vm_list_change);

    void start();

    void receive(const base::address& from, peer::datagram message);

    /// Modifies this daemon's own member record.
    void update_self(const std::function<void(peer::member_record&)>& change);

    /// Merges the member table of another daemon.
    void merge_members(const std::vector<peer::member_record>& members);

    /// Announces to the members that this daemon is leaving.
    void leave();

    std::vector<peer::member_record> members() const { return detector_.members(); }

    base::time_point last_contact() const { return detector_.last_contact(); }

private:
    void handle(const membership::event& event);
    void apply(const membership::send_datagram& action);
    void apply(const membership::member_changed& action);
    void apply(const membership::revision_seen& action);
    void apply(const membership::vm_list_change_seen& action);
    void publish();

    shared_state& shared_;
    peer_transport& transport_;
    revision_handler on_revision_;
    vm_list_change_handler on_vm_list_change_;
    membership::detector detector_;
    wakeup_timer timer_;
};

} // namespace rattanbay::daemon::internal
