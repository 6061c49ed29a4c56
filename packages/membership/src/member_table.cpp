#include "internal/member_table.hpp"

#include <algorithm>
#include <cmath>

namespace rattanbay::membership::internal {

bool supersedes(const peer::member_record& next, const peer::member_record& known) {
    if (next.sequence != known.sequence) {
        return next.sequence > known.sequence;
    }
    return next.status > known.status;
}

bool member_table::merge(const peer::member_record& record, base::time_point now) {
    const auto it = entries_.find(record.id);
    if (it == entries_.end()) {
        entries_.emplace(record.id, entry{record, now, 0, true});
        return record.status != peer::member_status::gone;
    }
    if (!supersedes(record, it->second.record)) {
        return false;
    }
    const bool same_status = record.status == it->second.record.status;
    const bool was_urgent = is_urgent(it->second);
    it->second = entry{record, now, 0, !same_status || was_urgent};
    return true;
}

bool member_table::merge_without_gossip(const peer::member_record& record, base::time_point now) {
    const bool changed = merge(record, now);
    if (changed) {
        entries_.at(record.id).send_count = max_sends();
    }
    return changed;
}

bool member_table::is_urgent(const entry& row) const {
    return row.is_status_change && row.send_count < max_urgent_sends();
}

bool member_table::has_urgent_updates() const {
    return std::ranges::any_of(entries_, [this](const auto& row) { return is_urgent(row.second); });
}

void member_table::set_load(const base::incarnation& id, std::uint32_t load) {
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
        it->second.record.load = load;
    }
}

const peer::member_record* member_table::find(const base::incarnation& id) const {
    const auto it = entries_.find(id);
    return it == entries_.end() ? nullptr : &it->second.record;
}

const peer::member_record* member_table::find_by_address(const base::address& peer_address) const {
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        const peer::member_record& record = row.second.record;
        if (record.status != peer::member_status::gone && record.peer_address == peer_address) {
            return &record;
        }
    }
    return nullptr;
}

std::vector<peer::member_record> member_table::active_members() const {
    std::vector<peer::member_record> out;
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        if (row.second.record.status != peer::member_status::gone) {
            out.push_back(row.second.record);
        }
    }
    return out;
}

std::vector<peer::member_record> member_table::expired_suspects(base::duration suspicion_timeout,
                                                                base::time_point now) const {
    std::vector<peer::member_record> out;
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        const bool suspect = row.second.record.status == peer::member_status::suspect;
        if (suspect && now - row.second.changed_at >= suspicion_timeout) {
            out.push_back(row.second.record);
        }
    }
    return out;
}

std::vector<base::address> member_table::gone_member_addresses() const {
    std::vector<base::address> out;
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        if (row.second.record.status == peer::member_status::gone) {
            out.push_back(row.second.record.peer_address);
        }
    }
    return out;
}

void member_table::remove_expired_tombstones(base::time_point now) {
    std::erase_if(entries_, [this, now](const std::pair<const base::incarnation, entry>& row) {
        return row.second.record.status == peer::member_status::gone &&
               now - row.second.changed_at >= tombstone_lifetime_;
    });
}

std::vector<peer::member_record> member_table::take_updates(std::size_t count) {
    std::vector<entry*> pending;
    for (std::pair<const base::incarnation, entry>& row : entries_) {
        if (row.second.send_count < max_sends()) {
            pending.push_back(&row.second);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [this](const entry* one, const entry* other) {
        return std::pair(!is_urgent(*one), one->send_count) <
               std::pair(!is_urgent(*other), other->send_count);
    });
    pending.resize(std::min(pending.size(), count));
    std::vector<peer::member_record> out;
    for (entry* next : pending) {
        next->send_count += 1;
        out.push_back(next->record);
    }
    return out;
}

std::vector<peer::member_record> member_table::sample(std::size_t count, base::random_source& random) const {
    std::vector<peer::member_record> list = active_members();
    count = std::min(count, list.size());
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(list[n], list[n + random.below(list.size() - n)]);
    }
    list.resize(count);
    return list;
}

std::size_t member_table::max_urgent_sends() const {
    // Each member receives an urgent update about this often on average, so that few depend on probes.
    constexpr double factor = 2;
    return static_cast<std::size_t>(std::ceil(factor * std::log2(static_cast<double>(entries_.size()) + 2)));
}

std::size_t member_table::max_sends() const {
    // SWIM: sending a small multiple of the logarithm of the group size reaches all members with high
    // probability.
    constexpr double factor = 3;
    return static_cast<std::size_t>(std::ceil(factor * std::log2(static_cast<double>(entries_.size()) + 2)));
}

} // namespace rattanbay::membership::internal
