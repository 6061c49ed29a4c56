#include <rattanbay/relay/endpoint_limits.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::relay {

namespace {

/// Interval at which a limit that goes on is announced again, and the time after which a limit that nobody
/// has seen is forgotten.
constexpr std::chrono::seconds announcement_interval{5};
constexpr std::chrono::seconds limit_lifetime{15};
/// Relative change of a limit from which it is announced at once.
constexpr double significant_change = 0.1;
/// Limits the traffic for endpoints that another writer made up.
constexpr std::size_t max_entries = 4096;
constexpr std::size_t max_senders = 1000;

} // namespace

std::size_t sender_count(double requests_per_second) {
    constexpr double min_senders = 2;
    return static_cast<std::size_t>(
        std::min(min_senders + std::floor(requests_per_second), static_cast<double>(max_senders)));
}

bool endpoint_limits::record_answer(const base::endpoint_id& endpoint, std::optional<double> limit,
                                    base::time_point now) {
    const auto it = entries_.find(endpoint);
    if (!limit) {
        return entries_.erase(endpoint) > 0;
    }
    if (it == entries_.end()) {
        if (entries_.size() < max_entries) {
            entries_.emplace(endpoint, entry{*limit, now, now});
        }
        return entries_.contains(endpoint);
    }
    entry& known = it->second;
    const bool changed = std::abs(*limit - known.limit) > significant_change * known.limit;
    known.limit = *limit;
    known.last_seen = now;
    const bool announce = changed || now - known.last_announced >= announcement_interval;
    known.last_announced = announce ? now : known.last_announced;
    return announce;
}

void endpoint_limits::record_announcement(const base::endpoint_id& endpoint, std::optional<double> limit,
                                          base::time_point now) {
    if (!limit) {
        entries_.erase(endpoint);
    } else if (entries_.size() < max_entries || entries_.contains(endpoint)) {
        entries_[endpoint] = entry{*limit, now, now};
    }
}

std::vector<base::endpoint_id> endpoint_limits::remove_expired(base::time_point now) {
    std::vector<base::endpoint_id> out;
    for (auto it = entries_.begin(); it != entries_.end();) {
        const auto current = it++;
        if (now - current->second.last_seen >= limit_lifetime) {
            out.push_back(current->first);
            entries_.erase(current);
        }
    }
    return out;
}

std::optional<double> endpoint_limits::find(const base::endpoint_id& endpoint) const {
    const auto it = entries_.find(endpoint);
    return it == entries_.end() ? std::nullopt : std::optional<double>(it->second.limit);
}

std::vector<endpoint_limit> endpoint_limits::list() const {
    std::vector<endpoint_limit> out;
    out.reserve(entries_.size());
    for (const std::pair<const base::endpoint_id, entry>& row : entries_) {
        out.push_back({row.first, row.second.limit});
    }
    return out;
}

} // namespace rattanbay::relay
