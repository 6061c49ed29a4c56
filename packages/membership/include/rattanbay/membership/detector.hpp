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

struct detector_options {
    /// Time between two probes; one member is probed at a time.
    base::duration probe_interval = std::chrono::seconds(1);
    /// Maximum wait for a direct ack before other members are asked to probe.
    base::duration probe_timeout = std::chrono::milliseconds(300);
    /// Number of members asked to probe a member that sent no ack.
    std::size_t indirect_probe_count = 2;
    /// Time in which a suspected member can refute the suspicion before it is declared gone.
    base::duration suspicion_timeout = std::chrono::seconds(3);
    /// How long a gone member is remembered, so that late updates do not make it live again.
    base::duration tombstone_lifetime = std::chrono::seconds(60);
    /// Time between probes of seeds and of addresses of gone members. These probes merge groups again after
    /// a network partition.
    base::duration rejoin_interval = std::chrono::seconds(10);
    /// Maximum number of member updates in one datagram.
    std::size_t max_updates_per_datagram = 6;
    /// Number of members to which updates are pushed when this daemon's record changes and in each push
    /// round.
    std::size_t push_fanout = 3;
    /// Time between push rounds. Changes of member status are pushed until they were sent often enough;
    /// with probes alone, the views of many daemons differ for a long time.
    base::duration push_interval = std::chrono::milliseconds(100);
    std::vector<base::address> seeds;
};

/// A datagram was received.
struct datagram_received {
    base::address from;
    peer::datagram message;
};

/// This daemon's own record changed. Identity, addresses and sequence of `self` are ignored.
struct self_changed {
    peer::member_record self;
};

/// A starting daemon received the member table of a seed. In a full-size cluster the updates in datagrams
/// alone take minutes to cover all members.
struct member_table_received {
    std::vector<peer::member_record> members;
};

/// The time returned by `next_wakeup` was reached.
struct timer_expired {};

/// This daemon is about to leave; the members are notified.
struct leave_requested {};

using event =
    std::variant<datagram_received, self_changed, member_table_received, timer_expired, leave_requested>;

/// Sends a datagram.
struct send_datagram {
    base::address to;
    peer::datagram message;
};

/// A member was found, suspected or lost, or its record changed; see `member.status`.
struct member_changed {
    peer::member_record member;
};

/// A member has a document with a higher revision than this daemon.
struct revision_seen {
    std::uint64_t revision = 0;
    base::address at;
};

/// A member's VM list contains a newer change than this daemon's.
struct vm_list_change_seen {
    object_api::store_revision version;
};

using action = std::variant<send_datagram, member_changed, revision_seen, vm_list_change_seen>;

/// SWIM failure detector and member table of one daemon. In each interval it probes one member, first
/// directly and then through other members. Traffic per daemon is independent of the cluster size.
class detector {
public:
    detector(detector_options options, peer::member_record self, base::random_source random,
             base::time_point now);
    detector(detector&&) noexcept;
    detector& operator=(detector&&) noexcept;
    ~detector();

    std::vector<action> handle(const event& ev, base::time_point now);

    base::time_point next_wakeup() const;

    /// Returns this daemon and all members that are live or suspected.
    std::vector<peer::member_record> members() const;

    const peer::member_record& self() const;

    /// Time of the last datagram from another member; the start time if there was none.
    base::time_point last_contact() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace rattanbay::membership
