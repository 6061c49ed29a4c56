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

/// Whether `next` is newer than `known`. Both must describe the same member.
bool supersedes(const peer::member_record& next, const peer::member_record& known);

/// Members other than this daemon, and the updates that still have to be disseminated.
class member_table {
public:
    explicit member_table(base::duration tombstone_lifetime)
        : tombstone_lifetime_(tombstone_lifetime) {}

    /// Stores a record if it is newer. Returns true if a member was added or changed, except that a new
    /// member that is already gone is stored but not reported.
    bool merge(const peer::member_record& record, base::time_point now);

    /// Like `merge`, for a record from another daemon's table. The record is not disseminated, because the
    /// other daemon does that.
    bool merge_without_gossip(const peer::member_record& record, base::time_point now);

    /// Whether a member status change was sent less than `max_urgent_sends` times.
    bool has_urgent_updates() const;

    /// Sets the load that a member reported about itself; it is not disseminated.
    void set_load(const base::incarnation& id, std::uint32_t load);

    const peer::member_record* find(const base::incarnation& id) const;

    /// Returns a member with this peer address that is not gone, or null.
    const peer::member_record* find_by_address(const base::address& peer_address) const;

    /// Returns the members that are live or suspected.
    std::vector<peer::member_record> active_members() const;

    /// Returns the members that have been suspected for at least `suspicion_timeout`.
    std::vector<peer::member_record> expired_suspects(base::duration suspicion_timeout,
                                                      base::time_point now) const;

    /// Returns the peer addresses of gone members that are still remembered.
    std::vector<base::address> gone_member_addresses() const;

    /// Removes gone members whose tombstone lifetime has expired.
    void remove_expired_tombstones(base::time_point now);

    /// Returns up to `count` updates to disseminate and counts them as sent. Status changes precede other
    /// changes; among equals, the least often sent come first.
    std::vector<peer::member_record> take_updates(std::size_t count);

    /// Returns up to `count` distinct random members that are live or suspected.
    std::vector<peer::member_record> sample(std::size_t count, base::random_source& random) const;

private:
    struct entry {
        peer::member_record record;
        base::time_point changed_at;
        /// Number of times this record was sent.
        std::size_t send_count = 0;
        /// Whether the member was added or changed its status with this record.
        bool is_status_change = true;
    };

    bool is_urgent(const entry& row) const;
    std::size_t max_sends() const;
    std::size_t max_urgent_sends() const;

    base::duration tombstone_lifetime_;
    std::map<base::incarnation, entry> entries_;
};

} // namespace rattanbay::membership::internal
