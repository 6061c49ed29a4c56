#pragma once

#include "platform_session.hpp"
#include "shared_state.hpp"
#include "store_role.hpp"

#include <rattanbay/object_api/evacuated_domains.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Keeps the evacuated failure domains up to date with the platform and with other daemons, and keeps
/// requests and pieces away from their endpoints. Runs on the control strand.
class evacuation_synchronizer : public std::enable_shared_from_this<evacuation_synchronizer> {
public:
    /// Tells all other daemons.
    using notice_sender = std::function<void(const object_api::evacuation_state&)>;

    /// `bound` is the time after which nothing more may be sent to an evacuated failure domain.
    evacuation_synchronizer(shared_state& shared, control_strand strand, platform_session& platform,
                            const store_role& role, base::duration bound, notice_sender send_notice);

    void start();

    /// Starts a new watch, as the daemon reads the store without delay from now on.
    void begin_reading() { start_watch(); }

    /// Takes over the state of another daemon if it is newer.
    void apply_peer_state(const object_api::evacuation_state& state);

    /// The last complete state; its version is unset until there is one.
    const object_api::evacuation_state& state() const { return evacuated_.state(); }

private:
    void start_watch();
    /// Reads the list anew after the store came back from a copy.
    void begin_era();
    /// Watches until another watch is started.
    asio::awaitable<void> watch(std::uint64_t generation);
    object_api::watch_names next_call(base::duration wait) const;
    void apply(const object_api::answer& answer);
    /// Puts the state in force after a change.
    void publish(std::string_view source);

    shared_state& shared_;
    control_strand strand_;
    platform_session& platform_;
    const store_role& role_;
    const base::duration bound_;
    notice_sender send_notice_;
    object_api::evacuated_domains evacuated_;
    /// Number of watches started so far; earlier ones end with their next answer.
    std::uint64_t watch_generation_ = 0;
};

} // namespace rattanbay::daemon::internal
