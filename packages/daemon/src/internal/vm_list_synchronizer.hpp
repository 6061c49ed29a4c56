#pragma once

#include "platform_session.hpp"
#include "store_role.hpp"
#include "vm_list_publisher.hpp"

#include <rattanbay/object_api/vm_directory.hpp>
#include <rattanbay/object_api/vm_list_update.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace rattanbay::daemon::internal {

/// Keeps the VM list up to date with the platform and publishes it. Runs on the control strand.
class vm_list_synchronizer : public std::enable_shared_from_this<vm_list_synchronizer> {
public:
    /// Sends changes of the list to the other daemons of the failure domain.
    using update_sender = std::function<void(object_api::vm_list_update)>;

    vm_list_synchronizer(shared_state& shared, control_strand strand, platform_session& platform,
                         const store_role& role, update_sender send_update);

    void start();

    /// Starts a new watch, as the daemon reads the store without delay from now on.
    void begin_reading() { start_watch(); }

    /// Reads the VM list if the watch does not bring the change of this version, which another daemon has, in
    /// time. Does nothing while the platform fails or an earlier call is in progress.
    void catch_up(const object_api::store_revision& change_version);

    /// Reads the VM list and starts a new watch if the current one does not bring the list up to
    /// `store_version` in time.
    asio::awaitable<void> read_missed(object_api::store_revision store_version);

    /// Offers the list of another daemon, which is used until the platform's own list is complete.
    void apply_peer_list(const object_api::vm_list& list);

    /// Applies changes that another daemon read from the store, or reads the list if earlier ones are
    /// missing.
    void apply_peer_update(const object_api::vm_list_update& update);

    void platform_recovered();

    /// Publishes the endpoints again, after a new document.
    void publish_endpoints() { publisher_.publish_endpoints(); }

    /// Version of the newest known change of the list.
    const object_api::store_revision& newest_change() const { return directory_.newest_change(); }

private:
    void start_watch();
    /// Reads the list anew after the store came back from a copy. The running watch ends, also if its
    /// connection is silent.
    void begin_era();
    /// Watches the list until another watch is started.
    asio::awaitable<void> watch(std::uint64_t generation);
    asio::awaitable<void> remove_expired();
    /// Whether the answer is a list or a page that is too old to be applied, or a watch's of an earlier era.
    bool is_stale_list(const object_api::answer& answer) const;
    /// Applies the answer to a call that was made when the list had the version `asked_at`.
    void apply(const object_api::answer& answer, const object_api::store_revision& asked_at);
    /// Records an applied answer: these changes, or a complete list if null. Tells the other daemons of the
    /// failure domain, if this one reads for them.
    void forward(const object_api::vm_changes* changes, const object_api::store_revision& before,
                 bool is_changed);

    shared_state& shared_;
    control_strand strand_;
    platform_session& platform_;
    const store_role& role_;
    update_sender send_update_;
    vm_list_publisher publisher_;
    object_api::vm_directory directory_;
    object_api::vm_update_tracker updates_;
    bool catch_up_in_progress_ = false;
    /// Number of watches started so far; earlier ones end with their next answer.
    std::uint64_t watch_generation_ = 0;
};

} // namespace rattanbay::daemon::internal
