#include <rattanbay/object_api/evacuated_domains.hpp>

#include <utility>

namespace rattanbay::object_api {

namespace {

/// Bounds the memory for entries that another writer made up.
constexpr std::size_t max_domains = 4096;

void insert_bounded(std::set<base::failure_domain>& domains, const std::string& name) {
    if (domains.size() < max_domains) {
        domains.insert(base::failure_domain(name));
    }
}

} // namespace

bool evacuated_domains::replace(evacuation_state next) {
    const bool changed = next.domains != state_.domains;
    state_ = std::move(next);
    return changed;
}

bool evacuated_domains::apply(const object_names& page) {
    if (!listing_ || page.version < state_.version) {
        return false;
    }
    listing& list = *listing_;
    list.version = list.next_after.empty() ? page.version : list.version;
    for (const std::string& name : page.names) {
        insert_bounded(list.domains, name);
    }
    if (page.next_after) {
        list.next_after = *page.next_after;
        return false;
    }
    evacuation_state next{list.version, std::move(list.domains)};
    if (next.version < state_.version) {
        // A newer state of another daemon arrived between two pages.
        restart_listing();
        return false;
    }
    listing_.reset();
    return replace(std::move(next));
}

bool evacuated_domains::apply(const object_name_changes& changes) {
    if (changes.version < state_.version || changes.version.era() != state_.version.era()) {
        return false;
    }
    evacuation_state next{changes.version, state_.domains};
    for (const std::string& name : changes.removed) {
        next.domains.erase(base::failure_domain(name));
    }
    for (const std::string& name : changes.created) {
        insert_bounded(next.domains, name);
    }
    return replace(std::move(next));
}

void evacuated_domains::advance_to(const store_revision& version) {
    if (version.era() == state_.version.era() && state_.version < version) {
        state_.version = version;
    }
}

bool evacuated_domains::adopt(const evacuation_state& other) {
    if (other.version <= state_.version || other.domains.size() > max_domains) {
        return false;
    }
    // A list that is being read continues: it also tells what this state cannot.
    return replace(other);
}

} // namespace rattanbay::object_api
