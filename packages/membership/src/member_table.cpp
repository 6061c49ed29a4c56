#include "internal/member_table.hpp"

#include <algorithm>
#include <cmath>

namespace rattanbay::membership::internal {

bool overrides(const peer::member_record& next, const peer::member_record& known) {
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
    if (!overrides(record, it->second.record)) {
        return false;
    }
    const bool same_presence = record.status == it->second.record.status;
    const bool untold = is_urgent(it->second);
    it->second = entry{record, now, 0, !same_presence || untold};
    return true;
}

bool member_table::copy(const peer::member_record& record, base::time_point now) {
    const bool changed = merge(record, now);
    if (changed) {
        entries_.at(record.id).sent = max_sends();
    }
    return changed;
}

bool member_table::is_urgent(const entry& row) const {
    return row.is_presence && row.sent < urgent_sends();
}

bool member_table::has_urgent_news() const {
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

const peer::member_record* member_table::at_address(const base::address& peer_address) const {
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        const peer::member_record& record = row.second.record;
        if (record.status != peer::member_status::gone && record.peer_address == peer_address) {
            return &record;
        }
    }
    return nullptr;
}

std::vector<peer::member_record> member_table::present() const {
    std::vector<peer::member_record> out;
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        if (row.second.record.status != peer::member_status::gone) {
            out.push_back(row.second.record);
        }
    }
    return out;
}

std::vector<peer::member_record> member_table::overdue(base::duration suspicion, base::time_point now) const {
    std::vector<peer::member_record> out;
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        const bool suspect = row.second.record.status == peer::member_status::suspect;
        if (suspect && now - row.second.changed >= suspicion) {
            out.push_back(row.second.record);
        }
    }
    return out;
}

std::vector<base::address> member_table::gone_addresses() const {
    std::vector<base::address> out;
    for (const std::pair<const base::incarnation, entry>& row : entries_) {
        if (row.second.record.status == peer::member_status::gone) {
            out.push_back(row.second.record.peer_address);
        }
    }
    return out;
}

void member_table::expire(base::time_point now) {
    std::erase_if(entries_, [this, now](const std::pair<const base::incarnation, entry>& row) {
        return row.second.record.status == peer::member_status::gone &&
               now - row.second.changed >= tombstone_;
    });
}

std::vector<peer::member_record> member_table::take_updates(std::size_t count) {
    std::vector<entry*> pending;
    for (std::pair<const base::incarnation, entry>& row : entries_) {
        if (row.second.sent < max_sends()) {
            pending.push_back(&row.second);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [this](const entry* one, const entry* other) {
        return std::pair(!is_urgent(*one), one->sent) < std::pair(!is_urgent(*other), other->sent);
    });
    pending.resize(std::min(pending.size(), count));
    std::vector<peer::member_record> out;
    for (entry* next : pending) {
        next->sent += 1;
        out.push_back(next->record);
    }
    return out;
}

std::vector<peer::member_record> member_table::sample(std::size_t count, base::random_source& random) const {
    std::vector<peer::member_record> list = present();
    count = std::min(count, list.size());
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(list[n], list[n + random.below(list.size() - n)]);
    }
    list.resize(count);
    return list;
}

std::size_t member_table::urgent_sends() const {
    // Each member hears of the news this often on the average, so that few are left to the probes.
    constexpr double factor = 2;
    return static_cast<std::size_t>(std::ceil(factor * std::log2(static_cast<double>(entries_.size()) + 2)));
}

std::size_t member_table::max_sends() const {
    // SWIM: a few times the logarithm of the group size reaches all members with high probability.
    constexpr double factor = 3;
    return static_cast<std::size_t>(std::ceil(factor * std::log2(static_cast<double>(entries_.size()) + 2)));
}

} // namespace rattanbay::membership::internal
