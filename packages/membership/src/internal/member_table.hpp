#pragma once

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace rattanbay::membership::internal {

/// Whether `next` overrides `known`, both about the same member.
bool overrides(const peer::member_record& next, const peer::member_record& known);

/// Members other than this daemon, with the updates that still have to be passed on.
class member_table {
public:
    explicit member_table(base::duration tombstone)
        : tombstone_(tombstone) {}

    /// Takes a record over if it is news. Returns whether it changed the table.
    bool merge(const peer::member_record& record, base::time_point now);

    /// Takes a record of another daemon's table over as `merge` does. It is not passed on, as the other
    /// daemon does that.
    bool copy(const peer::member_record& record, base::time_point now);

    /// Whether there is news of who is there that was passed on to few members yet.
    bool has_urgent_news() const;

    /// Sets the load that a member reported itself; it is not passed on.
    void set_load(const base::incarnation& id, std::uint32_t load);

    const peer::member_record* find(const base::incarnation& id) const;

    /// Member that is not gone at this peer address, or null.
    const peer::member_record* at_address(const base::address& peer_address) const;

    /// Members that are live or suspected.
    std::vector<peer::member_record> present() const;

    /// Suspected members whose time to refute is over.
    std::vector<peer::member_record> overdue(base::duration suspicion, base::time_point now) const;

    /// Peer addresses of remembered gone members.
    std::vector<base::address> gone_addresses() const;

    /// Forgets gone members whose tombstone time is over.
    void expire(base::time_point now);

    /// Updates to pass on; counts them as sent. News of who is there goes before changed records, and
    /// what was sent least often goes first.
    std::vector<peer::member_record> take_updates(std::size_t count);

    /// Up to `count` different members that are live or suspected, at random.
    std::vector<peer::member_record> sample(std::size_t count, base::random_source& random) const;

private:
    struct entry {
        peer::member_record record;
        base::time_point changed;
        /// How often this state was passed on.
        std::size_t sent = 0;
        /// Whether the member joined, was lost or came back with this state.
        bool is_presence = true;
    };

    bool is_urgent(const entry& row) const;
    std::size_t max_sends() const;
    std::size_t urgent_sends() const;

    base::duration tombstone_;
    std::map<base::incarnation, entry> entries_;
};

} // namespace rattanbay::membership::internal
