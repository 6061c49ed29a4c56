#include <rattanbay/object_api/vm_directory.hpp>

#include <algorithm>

namespace rattanbay::object_api {

vm_directory::vm_directory(base::duration relisting)
    : relisting_(relisting) {}

void vm_directory::put(const vm& listed) {
    entries_[listed.id] = entry{listed, true, std::nullopt};
}

void vm_directory::lapse(std::map<base::vm_id, entry>::iterator it, base::time_point now) {
    // A VM that was leaving is gone; it does not list itself again.
    if (now >= relisting_end_ || it->second.listed.state == vm_state::leaving) {
        entries_.erase(it);
    } else if (!it->second.removal) {
        it->second.removal = relisting_end_;
    }
}

void vm_directory::take(const vm_page& page, base::time_point now) {
    if (!missing_part_ || *missing_part_ != page.after) {
        return;
    }
    if (missing_part_->empty()) {
        listing_version_ = page.version;
        for (auto& row : entries_) {
            row.second.seen = false;
        }
    }
    for (const vm& listed : page.vms) {
        put(listed);
    }
    missing_part_ = page.next;
    if (missing_part_) {
        return;
    }
    // What changed while the parts were read comes again with the changes since the first part.
    version_ = std::max(version_, listing_version_);
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto here = it++;
        if (!here->second.seen) {
            lapse(here, now);
        }
    }
}

void vm_directory::take(const vm_list& list, base::time_point now) {
    missing_part_ = "";
    take(vm_page{list.version, list.vms, std::nullopt, 0, {}}, now);
}

void vm_directory::take(const vm_changes& changes, base::time_point now) {
    // The list was read anew since the watch began.
    if (changes.version < version_) {
        return;
    }
    for (const vm& listed : changes.changed) {
        put(listed);
    }
    for (const base::vm_id& id : changes.removed) {
        const auto it = entries_.find(id);
        if (it != entries_.end()) {
            lapse(it, now);
        }
    }
    advance(changes.version);
}

void vm_directory::advance(std::uint64_t version) {
    version_ = std::max(version_, version);
}

void vm_directory::lose_history() {
    missing_part_ = "";
}

void vm_directory::platform_returned(base::time_point now) {
    relisting_end_ = now + relisting_;
}

bool vm_directory::expire(base::time_point now) {
    return std::erase_if(entries_, [now](const auto& row) {
               return row.second.removal && *row.second.removal <= now;
           }) > 0;
}

vm_list vm_directory::list() const {
    vm_list out;
    out.version = version_;
    out.vms.reserve(entries_.size());
    for (const auto& row : entries_) {
        out.vms.push_back(row.second.listed);
    }
    return out;
}

} // namespace rattanbay::object_api
