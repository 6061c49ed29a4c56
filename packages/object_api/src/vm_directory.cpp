#include <rattanbay/object_api/vm_directory.hpp>

#include <algorithm>

namespace rattanbay::object_api {

namespace {

/// Time for which departures are remembered; a copy of the store is some seconds old.
constexpr std::chrono::seconds departure_memory{60};
/// Time after which the platform has removed an entry that its VM does not renew: three heartbeats of 1.2 s
/// and the delay of the removal.
constexpr std::chrono::milliseconds unrenewed_entry_lifetime{4500};

} // namespace

vm_directory::vm_directory(base::duration relisting_grace_period, bool keeps_cold_times)
    : relisting_grace_period_(relisting_grace_period)
    , keeps_cold_times_(keeps_cold_times) {}

void vm_directory::upsert(const vm& listed, const store_revision& version, base::time_point now) {
    const auto removed = removed_versions_.find(listed.id);
    if (removed != removed_versions_.end() && removed->second > version) {
        return;
    }
    entry& current = entries_[listed.id];
    if (current.version > version) {
        return;
    }
    current = entry{listed, version, std::nullopt, std::nullopt};
    current.listed.cold_left_ms = keeps_cold_times_ ? listed.cold_left_ms : 0;
    if (listed.state == vm_state::leaving) {
        record_departure(listed, false, now);
        return;
    }
    const auto left = departures_.find(listed.id);
    const bool is_known =
        left != departures_.end() && listed.started_ms != 0 && left->second.started_ms == listed.started_ms;
    if (is_known && !left->second.removed_in) {
        current.listed.state = vm_state::leaving;
    } else if (is_known && *left->second.removed_in < version.era()) {
        current.restored_until = now + unrenewed_entry_lifetime;
    } else if (is_known) {
        departures_.erase(left);
    }
}

void vm_directory::record_departure(const vm& listed, bool is_removed, base::time_point now) {
    if (listed.started_ms == 0) {
        return;
    }
    departure& known = departures_[listed.id];
    const bool was_leaving = known.started_ms == listed.started_ms && !known.removed_in;
    // One that was leaving before it was removed does not come back.
    const bool may_return = is_removed && !was_leaving;
    known = departure{listed.started_ms, may_return ? std::optional(era_) : std::nullopt, now};
}

void vm_directory::apply_removal(const base::vm_id& id, const store_revision& version, base::time_point now) {
    if (next_page_after_) {
        store_revision& removed = removed_versions_[id];
        removed = std::max(removed, version);
    }
    const auto it = entries_.find(id);
    if (it != entries_.end() && it->second.version <= version) {
        it->second.version = version;
        handle_missing(it, now);
    }
}

void vm_directory::handle_missing(std::map<base::vm_id, entry>::iterator it, base::time_point now) {
    // A leaving VM does not register again, so its entry needs no grace period.
    if (now >= relisting_deadline_ || it->second.listed.state == vm_state::leaving) {
        record_departure(it->second.listed, true, now);
        entries_.erase(it);
    } else if (!it->second.removal_time) {
        it->second.removal_time = relisting_deadline_;
    }
}

bool vm_directory::is_stale(const vm_page& page) const {
    return page.version.era() < era_ || page.version < (page.after.empty() ? version_ : listing_version_);
}

void vm_directory::apply(const vm_page& page, base::time_point now) {
    observe_era(page.version.era());
    if (!next_page_after_ || *next_page_after_ != page.after || is_stale(page)) {
        return;
    }
    if (next_page_after_->empty()) {
        listing_version_ = page.version;
        removed_versions_.clear();
    }
    for (const vm& listed : page.vms) {
        upsert(listed, page.version, now);
    }
    newest_change_ = std::max(newest_change_, page.newest_change);
    next_page_after_ = page.next_after;
    if (next_page_after_) {
        return;
    }
    // Changes made while the pages were read are delivered again by the watch from the first page's version.
    version_ = std::max(version_, listing_version_);
    removed_versions_.clear();
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        // An entry that a newer answer described may have been added after its page was read.
        if (current->second.version < listing_version_) {
            handle_missing(current, now);
        }
    }
}

void vm_directory::apply(const vm_list& list, base::time_point now) {
    if (is_stale(list)) {
        return;
    }
    observe_era(list.version.era());
    next_page_after_ = "";
    apply(vm_page{list.version, list.vms, std::nullopt, 0, {}, list.version}, now);
}

void vm_directory::apply(const vm_changes& changes, base::time_point now) {
    observe_era(changes.version.era());
    // Changes of another era than the list's say nothing about what was changed in between. Changes older
    // than the list are stale, because it was read again since the watch started.
    if (changes.version.era() != version_.era() || changes.version < version_) {
        return;
    }
    for (const vm& listed : changes.changed) {
        // Written since the list was read, so the VM runs even if it was removed in an earlier era.
        const auto left = departures_.find(listed.id);
        if (left != departures_.end() && left->second.removed_in) {
            departures_.erase(left);
        }
        upsert(listed, changes.version, now);
    }
    for (const base::vm_id& id : changes.removed) {
        apply_removal(id, changes.version, now);
    }
    newest_change_ = std::max(newest_change_, changes.newest_change);
    advance_to(changes.version);
}

void vm_directory::advance_to(const store_revision& version) {
    observe_era(version.era());
    if (version.era() == version_.era()) {
        version_ = std::max(version_, version);
    }
}

void vm_directory::restart_listing() {
    next_page_after_ = "";
}

void vm_directory::lose_history(const store_revision& after, std::uint64_t era) {
    observe_era(era);
    if ((era == era_ || era == 0) && after >= version_ && !next_page_after_) {
        restart_listing();
    }
}

void vm_directory::observe_era(std::uint64_t era) {
    if (era > era_) {
        era_ = era;
        restart_listing();
    }
}

void vm_directory::begin_era(std::uint64_t era, base::time_point now) {
    observe_era(era);
    // What registered after the copy was made registers again.
    platform_recovered(now);
}

void vm_directory::platform_recovered(base::time_point now) {
    relisting_deadline_ = now + relisting_grace_period_;
}

bool vm_directory::remove_expired(base::time_point now) {
    std::erase_if(departures_, [now](const auto& row) { return row.second.time + departure_memory <= now; });
    bool changed = std::erase_if(entries_, [now](const auto& row) {
                       return row.second.removal_time && *row.second.removal_time <= now;
                   }) > 0;
    for (std::pair<const base::vm_id, entry>& row : entries_) {
        if (row.second.restored_until && *row.second.restored_until <= now) {
            row.second.restored_until = std::nullopt;
            departures_.erase(row.first);
            changed = true;
        }
    }
    return changed;
}

std::set<base::service_name> vm_directory::mostly_missing_services() const {
    struct count {
        std::size_t live = 0;
        std::size_t missing = 0;
    };

    std::map<base::service_name, count> counts;
    for (const std::pair<const base::vm_id, entry>& row : entries_) {
        count& service = counts[row.second.listed.service];
        if (row.second.removal_time) {
            ++service.missing;
        } else if (row.second.listed.state == vm_state::live) {
            ++service.live;
        }
    }
    std::set<base::service_name> out;
    for (const std::pair<const base::service_name, count>& row : counts) {
        if (row.second.missing > row.second.live) {
            out.insert(row.first);
        }
    }
    return out;
}

vm_list vm_directory::list() const {
    vm_list out;
    out.version = version_;
    out.vms.reserve(entries_.size());
    const std::set<base::service_name> mostly_missing = mostly_missing_services();
    for (const std::pair<const base::vm_id, entry>& row : entries_) {
        if (!row.second.removal_time || mostly_missing.contains(row.second.listed.service)) {
            out.vms.push_back(row.second.listed);
            out.vms.back().state = row.second.restored_until ? vm_state::leaving : out.vms.back().state;
        }
    }
    return out;
}

} // namespace rattanbay::object_api
