#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/peer/datagram.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace rattanbay::membership {

/// Options of a detector.
struct detector_options {
    /// One member is probed each period.
    base::duration probe_period = std::chrono::seconds(1);
    /// Wait for a direct answer before other members are asked to probe.
    base::duration direct_limit = std::chrono::milliseconds(300);
    /// Members asked to probe a silent member.
    std::size_t indirect_probes = 2;
    /// Time in which a suspected member may refute before it counts as gone.
    base::duration suspicion = std::chrono::seconds(3);
    /// How long a gone member is remembered, so that late updates do not bring it back.
    base::duration tombstone = std::chrono::seconds(60);
    /// Period of probes to seeds and to addresses of gone members; it joins groups again after
    /// they were cut off from each other.
    base::duration rejoin_period = std::chrono::seconds(10);
    /// Updates carried by one datagram.
    std::size_t updates_per_datagram = 6;
    /// Members that are told at once when this daemon's record changes, and in each round of pushes.
    std::size_t eager_pushes = 3;
    /// News of who is there is pushed on in rounds of this period until it was passed on often enough;
    /// with probes alone the views of many daemons differ for long.
    base::duration push_period = std::chrono::milliseconds(100);
    std::vector<base::address> seeds;
};

/// A datagram came in.
struct datagram_received {
    base::address from;
    peer::datagram message;
};

/// What this daemon says of itself has changed; identity, addresses and sequence are ignored.
struct self_changed {
    peer::member_record self;
};

/// The member table of another daemon, which a starting daemon asks a seed for: at full size the
/// updates of datagrams alone take minutes to name all members.
struct members_learned {
    std::vector<peer::member_record> members;
};

/// The time `next_wakeup` has come.
struct woken {};

/// This daemon leaves; its members are told.
struct leave_asked {};

using event = std::variant<datagram_received, self_changed, members_learned, woken, leave_asked>;

/// Sends a datagram.
struct send_datagram {
    base::address to;
    peer::datagram message;
};

/// A member was found, suspected, lost or has changed; `member.status` says which.
struct member_changed {
    peer::member_record member;
};

/// A member has a document of a higher revision than this daemon.
struct revision_seen {
    std::uint64_t revision = 0;
    base::address at;
};

using action = std::variant<send_datagram, member_changed, revision_seen>;

/// Failure detector and member table of one daemon (SWIM): each period it probes one member,
/// directly and then through others. Traffic per daemon does not grow with the number of members.
class detector {
public:
    detector(detector_options options, peer::member_record self, base::random_source random,
             base::time_point now);
    detector(detector&&) noexcept;
    detector& operator=(detector&&) noexcept;
    ~detector();

    std::vector<action> handle(const event& happened, base::time_point now);

    base::time_point next_wakeup() const;

    /// This daemon and all members that are live or suspected.
    std::vector<peer::member_record> members() const;

    const peer::member_record& self() const;

    /// When a datagram of another member came in last; the start time when none did.
    base::time_point last_contact() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace rattanbay::membership
