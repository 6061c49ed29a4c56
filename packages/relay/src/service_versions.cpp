#include <rattanbay/relay/service_versions.hpp>

#include <algorithm>

namespace rattanbay::relay {

base::duration service_versions::time_left(const version_state& state, base::time_point now) const {
    return state.is_listed ? retention_ : state.expires - now;
}

std::set<std::string> service_versions::active(const service_state& state, base::time_point now) const {
    std::set<std::string> out;
    for (const std::pair<const std::string, version_state>& row : state.versions) {
        if (time_left(row.second, now) > base::duration::zero()) {
            out.insert(row.first);
        }
    }
    return out;
}

bool service_versions::is_dropped_active(const service_state& state, base::time_point now) const {
    return state.dropped_until && *state.dropped_until > now;
}

void service_versions::remove_expired(service_state& state, base::time_point now) const {
    std::erase_if(state.versions, [this, now](const std::pair<const std::string, version_state>& row) {
        return time_left(row.second, now) <= base::duration::zero();
    });
    if (!is_dropped_active(state, now)) {
        state.dropped_until.reset();
    }
}

void service_versions::drop_excess(service_state& state, base::time_point now) const {
    while (state.versions.size() > max_versions) {
        const auto first = std::ranges::min_element(
            state.versions, {}, [this, now](const std::pair<const std::string, version_state>& row) {
                return time_left(row.second, now);
            });
        const base::time_point end = now + time_left(first->second, now);
        state.dropped_until = std::max(state.dropped_until.value_or(end), end);
        state.versions.erase(first);
    }
}

bool service_versions::observe(const base::service_name& service, const std::set<std::string>& listed,
                               base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    service_state& state = services_[service];
    for (std::pair<const std::string, version_state>& row : state.versions) {
        if (row.second.is_listed && !listed.contains(row.first)) {
            row.second.is_listed = false;
            row.second.expires = now + retention_;
        }
    }
    for (const std::string& version : listed) {
        state.versions[version].is_listed = true;
    }
    remove_expired(state, now);
    drop_excess(state, now);
    std::set<std::string> found = active(state, now);
    const bool has_changed = found != state.observed;
    state.observed = std::move(found);
    if (state.versions.empty() && !state.dropped_until) {
        services_.erase(service);
    }
    return has_changed;
}

void service_versions::restore(const base::service_name& service, const std::string& version,
                               base::time_point now, std::optional<base::duration> time_left) {
    const base::duration left = std::min(time_left.value_or(retention_), retention_);
    if (left <= base::duration::zero()) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    service_state& state = services_[service];
    remove_expired(state, now);
    version_state& restored = state.versions.try_emplace(version, version_state{false, now}).first->second;
    restored.expires = std::max(restored.expires, now + left);
    drop_excess(state, now);
}

std::set<std::string> service_versions::active(const base::service_name& service,
                                               base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = services_.find(service);
    return it == services_.end() ? std::set<std::string>() : active(it->second, now);
}

bool service_versions::is_mixed(const base::service_name& service, base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = services_.find(service);
    return it != services_.end() &&
           (active(it->second, now).size() > 1 || is_dropped_active(it->second, now));
}

std::map<base::service_name, std::set<std::string>> service_versions::snapshot(base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<base::service_name, std::set<std::string>> out;
    for (const std::pair<const base::service_name, service_state>& row : services_) {
        std::set<std::string> versions = active(row.second, now);
        if (!versions.empty()) {
            out.emplace(row.first, std::move(versions));
        }
    }
    return out;
}

void service_versions::append_records(const base::service_name& service, const service_state& state,
                                      base::time_point now, std::vector<version_record>& out) const {
    for (const std::pair<const std::string, version_state>& row : state.versions) {
        const base::duration left = time_left(row.second, now);
        if (left > base::duration::zero()) {
            out.push_back({service, row.first, left});
        }
    }
}

std::vector<version_record> service_versions::records(base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<version_record> out;
    for (const std::pair<const base::service_name, service_state>& row : services_) {
        append_records(row.first, row.second, now, out);
    }
    return out;
}

std::vector<version_record> service_versions::records(const base::service_name& service,
                                                      base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<version_record> out;
    const auto it = services_.find(service);
    if (it != services_.end()) {
        append_records(it->first, it->second, now, out);
    }
    return out;
}

} // namespace rattanbay::relay
