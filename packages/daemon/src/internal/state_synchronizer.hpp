#pragma once

#include "daemon_registry.hpp"
#include "document_synchronizer.hpp"
#include "evacuation_synchronizer.hpp"
#include "listed_version_reader.hpp"
#include "peer_broadcaster.hpp"
#include "peer_transport.hpp"
#include "platform_session.hpp"
#include "shared_state.hpp"
#include "store_role.hpp"
#include "version_record.hpp"
#include "vm_list_synchronizer.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rattanbay::daemon::internal {

/// Synchronizes the environment document, the VM list and the registry of daemons with the platform, and
/// exchanges state with other daemons. Runs on the control strand.
class state_synchronizer : public std::enable_shared_from_this<state_synchronizer> {
public:
    using members_handler = std::function<void(const std::vector<peer::member_record>&)>;
    using revision_handler = std::function<void(std::uint64_t)>;

    state_synchronizer(shared_state& shared, control_strand strand, platform_client& platform,
                       peer_transport& transport, std::shared_ptr<peer_broadcaster> broadcaster,
                       members_handler on_members, revision_handler on_revision);

    void start();

    /// See `document_synchronizer::catch_up`.
    void catch_up_document(std::uint64_t revision, const base::address& peer_address);

    /// See `vm_list_synchronizer::catch_up`.
    void catch_up_vms(const object_api::store_revision& change_version);

    /// See `vm_list_synchronizer::apply_peer_update`.
    void apply_vm_list_update(const object_api::vm_list_update& update) { vms_->apply_peer_update(update); }

    /// See `evacuation_synchronizer::apply_peer_state`.
    void apply_evacuations(const object_api::evacuation_state& state);

    /// Version of the newest known change of the VM list.
    const object_api::store_revision& newest_vm_change() const { return vms_->newest_change(); }

    /// Builds the reply to another daemon's state request.
    asio::awaitable<peer::frame> build_state_reply(peer::state_request request,
                                                   std::vector<peer::member_record> members);

    /// Reads the current document from the platform or, failing that, from a peer; returns whether either
    /// replied.
    asio::awaitable<bool> verify();

    void publish_revisions() { documents_->publish_revisions(); }

    /// Time of the last usable answer of the platform, or the start time if there was none.
    base::time_point last_platform_answer() const { return platform_.last_answer(); }

private:
    document_synchronizer::handlers document_handlers(revision_handler on_revision);
    /// Tells the other daemons of the failure domain of changes of the VM list.
    void send_vm_list_update(object_api::vm_list_update update);
    /// Keeps the role up to date with the members.
    asio::awaitable<void> watch_role();
    asio::awaitable<void> fetch_from_seeds();
    asio::awaitable<bool> fetch_state_from(base::address peer_address, base::duration timeout,
                                           bool document_only = false);

    shared_state& shared_;
    control_strand strand_;
    peer_transport& transport_;
    members_handler on_members_;
    platform_session platform_;
    store_role role_;
    std::shared_ptr<vm_list_synchronizer> vms_;
    std::shared_ptr<document_synchronizer> documents_;
    std::shared_ptr<daemon_registry> registry_;
    /// Empty unless the daemon relays requests.
    std::shared_ptr<version_record> versions_;
    /// Empty unless the daemon relays requests.
    std::shared_ptr<listed_version_reader> listed_versions_;
    /// Empty if operators evacuate no failure domains.
    std::shared_ptr<evacuation_synchronizer> evacuations_;
};

} // namespace rattanbay::daemon::internal
