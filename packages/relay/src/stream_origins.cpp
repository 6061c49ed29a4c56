#include <rattanbay/relay/stream_origins.hpp>

namespace rattanbay::relay {

namespace {

/// Expired streams that one record removes. With two, expired streams become fewer while the cost of a call
/// stays bounded.
constexpr std::size_t max_removals = 2;

} // namespace

base::hash128 stream_origins::key_of(const base::request_id& stream) {
    return base::fast_hash(stream.text());
}

void stream_origins::record(const base::request_id& stream, const stream_origin& origin,
                            base::time_point expires, base::time_point now) {
    record(key_of(stream), origin, expires, now);
}

void stream_origins::record(const base::hash128& key, const stream_origin& origin, base::time_point expires,
                            base::time_point now) {
    if (expires <= now) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::size_t n = 0; n < max_removals; ++n) {
        if (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
            remove_first();
        }
    }
    const auto it = entries_.find(key);
    if (it == entries_.end()) {
        entries_.emplace(key, entry{origin, expires});
        by_expiry_.emplace(expires, key);
    } else if (it->second.expires <= now) {
        it->second.origin = origin;
        set_expiry(it, expires);
    } else if (it->second.origin == origin && expires > it->second.expires) {
        set_expiry(it, expires);
    }
    if (entries_.size() > max_streams) {
        remove_first();
    }
}

void stream_origins::remove_first() {
    entries_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
}

void stream_origins::set_expiry(entries::iterator it, base::time_point expires) {
    by_expiry_.erase({it->second.expires, it->first});
    it->second.expires = expires;
    by_expiry_.emplace(expires, it->first);
}

std::optional<stream_origin> stream_origins::find(const base::request_id& stream,
                                                  base::time_point now) const {
    const std::optional<stream_record> found = find(key_of(stream), now);
    return found ? std::optional<stream_origin>(found->origin) : std::nullopt;
}

std::optional<stream_record> stream_origins::find(const base::hash128& key, base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.expires <= now) {
        return std::nullopt;
    }
    return stream_record{key, it->second.origin, it->second.expires - now};
}

std::vector<stream_record> stream_origins::records(const base::service_name& service,
                                                   base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<stream_record> out;
    for (const std::pair<const base::hash128, entry>& row : entries_) {
        if (row.second.origin.service == service && row.second.expires > now) {
            out.push_back({row.first, row.second.origin, row.second.expires - now});
        }
    }
    return out;
}

} // namespace rattanbay::relay
