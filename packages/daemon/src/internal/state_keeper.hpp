#pragma once

#include "peer_transport.hpp"
#include "shared_state.hpp"

#include <rattanbay/config/adoption.hpp>
#include <rattanbay/config/document_object.hpp>
#include <rattanbay/daemon/platform_client.hpp>
#include <rattanbay/object_api/vm_directory.hpp>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace rattanbay::daemon::internal {

/// Keeps the environment document and the VM list up to date on the control strand, from the
/// platform and from other daemons, and publishes them.
class state_keeper : public std::enable_shared_from_this<state_keeper> {
public:
    using members_handler = std::function<void(const std::vector<peer::member_record>&)>;
    using revision_handler = std::function<void(std::uint64_t)>;

    state_keeper(shared_state& shared, control_strand strand, platform_client& platform,
                 peer_transport& transport, members_handler on_members, revision_handler on_revision);

    void start();

    /// Fetches the document of a higher revision from another daemon.
    void fetch_from(const base::address& peer_address);

    /// Answers another daemon's question for the state.
    peer::frame state_for(const peer::state_request& request,
                          const std::vector<peer::member_record>& members) const;

    /// Reads the document anew, from the platform or a peer, and returns whether one of them said
    /// which is in force.
    asio::awaitable<bool> verify();

    /// When the platform gave a usable answer last; the start time when it never did.
    base::time_point last_platform_answer() const { return last_platform_answer_; }

private:
    asio::awaitable<void> watch_document();
    base::duration read_period() const;
    asio::awaitable<void> read_document_periodically();
    /// Reads the VM list when the watch has not brought it up to a version of the store.
    asio::awaitable<void> read_missed_vms(std::uint64_t store_version);
    asio::awaitable<void> watch_vms();
    asio::awaitable<void> ask_seeds_at_start();
    /// Puts this daemon's address into the platform.
    asio::awaitable<void> register_self();
    /// Asks daemons that are in the platform and not among the members.
    asio::awaitable<void> find_registered();
    bool is_member(const base::address& peer_address) const;
    asio::awaitable<bool> ask_peer(base::address peer_address);
    asio::awaitable<object_api::answer> call(object_api::call request);
    asio::awaitable<void> pause_after_failure(unsigned failures);
    asio::awaitable<void> pause(base::duration length);
    void note_platform(bool usable);
    void offer(std::string_view value);
    void adopt(const std::shared_ptr<const config::environment_document>& document);
    asio::awaitable<void> remove_lapsed_vms();
    void take_vm_answer(const object_api::answer& answer);
    static void note_unusable(std::size_t entries);
    void take_vms_of_peer(const object_api::vm_list& list);
    void publish_vms(std::string_view source);
    void publish_vms(const object_api::vm_list& list, std::string_view source);
    void publish_table();

    shared_state& shared_;
    control_strand strand_;
    platform_client& platform_;
    peer_transport& transport_;
    members_handler on_members_;
    revision_handler on_revision_;
    config::document_adoption adoption_;
    base::random_source random_;
    std::uint64_t document_version_ = 0;
    object_api::vm_directory directory_;
    base::time_point last_platform_answer_;
    bool platform_failing_ = false;
    bool fetching_ = false;
};

} // namespace rattanbay::daemon::internal
