#pragma once

#include "peer_transport.hpp"
#include "shared_state.hpp"
#include "vm_list_publisher.hpp"

#include <rattanbay/config/adoption.hpp>
#include <rattanbay/config/document_object.hpp>
#include <rattanbay/daemon/platform_client.hpp>
#include <rattanbay/object_api/vm_directory.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace rattanbay::daemon::internal {

/// Synchronizes the environment document and the VM list with the platform and other daemons and publishes
/// them. Runs on the control strand.
class state_synchronizer : public std::enable_shared_from_this<state_synchronizer> {
public:
    using members_handler = std::function<void(const std::vector<peer::member_record>&)>;
    using revision_handler = std::function<void(std::uint64_t)>;

    state_synchronizer(shared_state& shared, control_strand strand, platform_client& platform,
                       peer_transport& transport, members_handler on_members, revision_handler on_revision);

    void start();

    /// Fetches a document of at least this revision, which the daemon at `peer_address` has. If that one
    /// gives no answer, others that have it are tried.
    void catch_up_document(std::uint64_t revision, const base::address& peer_address);

    /// Reads the VM list if the watch does not bring the change of this version, which another daemon has, in
    /// time. Does nothing while the platform fails or an earlier call is in progress.
    void catch_up_vms(std::uint64_t change_version);

    /// Version of the newest known change of the VM list.
    std::uint64_t newest_vm_change() const { return directory_.newest_change(); }

    /// Builds the reply to another daemon's state request.
    peer::frame build_state_reply(const peer::state_request& request,
                                  const std::vector<peer::member_record>& members);

    /// Reads the current document from the platform or, failing that, from a peer; returns whether either
    /// replied.
    asio::awaitable<bool> verify();

    /// Publishes the revision in force and the highest one seen as metrics and for operators.
    void publish_revisions();

    /// Time of the last usable answer of the platform, or the start time if there was none.
    base::time_point last_platform_answer() const { return last_platform_answer_; }

private:
    asio::awaitable<void> watch_document();
    base::duration read_interval() const;
    asio::awaitable<void> read_document_periodically();
    /// Reads the VM list and starts a new watch if the current one does not bring the list up to
    /// `store_version` in time.
    asio::awaitable<void> read_missed_vms(std::uint64_t store_version);
    void start_vm_watch();
    /// Watches the VM list until another watch is started.
    asio::awaitable<void> watch_vms(std::uint64_t generation);
    asio::awaitable<void> fetch_from_seeds();
    /// Registers this daemon's address in the platform.
    asio::awaitable<void> register_self();
    /// Fetches the state of daemons that are registered in the platform but are not members.
    asio::awaitable<void> discover_registered_daemons();
    bool is_member(const base::address& peer_address) const;
    asio::awaitable<void> fetch_wanted_document();
    std::optional<base::address> choose_document_holder();
    asio::awaitable<bool> fetch_state_from(base::address peer_address, base::duration timeout);
    asio::awaitable<object_api::answer> call(object_api::call request);
    /// Waits before a failed call is repeated, at most until the platform has answered another call.
    /// `failures` counts the consecutive failures of the call.
    asio::awaitable<void> back_off(std::string_view call_name, unsigned failures,
                                   const object_api::answer& answer);
    asio::awaitable<void> sleep_for(base::duration delay);
    void record_platform_result(bool usable);
    /// Offers a document; `source` names where it was read, for the log.
    void offer_document(std::string_view value, std::string_view source);
    void offer_compressed_document(std::string_view bytes);
    /// The document in force for other daemons; compressed once for each revision.
    const std::string& compressed_document();
    void adopt(const std::shared_ptr<const config::environment_document>& document);
    void reject(const config::document_rejected& rejected, std::string_view source);
    asio::awaitable<void> remove_expired_vms();
    /// Whether the answer is a list or a page that is too old to be applied.
    bool is_stale_list(const object_api::answer& answer) const;
    void apply_vm_answer(const object_api::answer& answer);
    void apply_peer_vms(const object_api::vm_list& list);

    shared_state& shared_;
    control_strand strand_;
    platform_client& platform_;
    peer_transport& transport_;
    members_handler on_members_;
    revision_handler on_revision_;
    vm_list_publisher publisher_;
    config::document_adoption adoption_;
    base::random_source random_;
    std::uint64_t document_version_ = 0;
    std::uint64_t compressed_revision_ = 0;
    std::string compressed_document_;
    object_api::vm_directory directory_;
    base::time_point last_platform_answer_;
    bool platform_failing_ = false;
    /// Timers of the calls in `back_off`.
    std::set<asio::steady_timer*> delayed_calls_;
    /// Highest revision that was offered.
    std::uint64_t offered_revision_ = 0;
    /// Highest revision that another daemon has announced, and the daemons that announced it last.
    std::uint64_t wanted_revision_ = 0;
    std::deque<base::address> document_holders_;
    bool document_fetch_in_progress_ = false;
    bool vm_catch_up_in_progress_ = false;
    /// Number of watches of the VM list started so far; earlier ones end with their next answer.
    std::uint64_t vm_watch_generation_ = 0;
};

} // namespace rattanbay::daemon::internal
