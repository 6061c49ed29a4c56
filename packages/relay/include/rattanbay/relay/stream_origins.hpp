#pragma once

#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/relay/stream_origin.hpp>
#include <rattanbay/relay/stream_record.hpp>

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace rattanbay::relay {

/// Remembers where streams began until the deadlines of their clients. Safe for use from several threads.
class stream_origins {
public:
    /// Maximum number of streams. If there are more, the one that expires first is dropped.
    static constexpr std::size_t max_streams = 32'768;

    /// Key of a stream. Its size does not depend on the identifier, which the client chooses. A client that
    /// makes two of its own identifiers collide affects its own streams only.
    static base::hash128 key_of(const base::request_id& stream);

    /// Records where a stream began. A stream has one origin: a later record of a live stream can extend its
    /// time, and has no effect if it names another origin.
    void record(const base::request_id& stream, const stream_origin& origin, base::time_point expires,
                base::time_point now);
    void record(const base::hash128& key, const stream_origin& origin, base::time_point expires,
                base::time_point now);

    std::optional<stream_origin> find(const base::request_id& stream, base::time_point now) const;
    std::optional<stream_record> find(const base::hash128& key, base::time_point now) const;

    /// All live streams of a service. Visits all streams of all services.
    std::vector<stream_record> records(const base::service_name& service, base::time_point now) const;

private:
    struct entry {
        stream_origin origin;
        base::time_point expires;
    };

    using entries = std::map<base::hash128, entry>;

    /// Removes the stream that expires first.
    void remove_first();
    void set_expiry(entries::iterator it, base::time_point expires);

    mutable std::mutex mutex_;
    entries entries_;
    /// Streams in the order of their expiry.
    std::set<std::pair<base::time_point, base::hash128>> by_expiry_;
};

} // namespace rattanbay::relay
