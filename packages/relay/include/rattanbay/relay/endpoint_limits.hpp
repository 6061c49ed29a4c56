#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace rattanbay::relay {

/// An endpoint and the requests per second that it takes from all daemons together.
struct endpoint_limit {
    base::endpoint_id endpoint;
    double requests_per_second = 0;
};

/// Number of daemons that send requests to an endpoint with this limit; all others avoid it. If every daemon
/// sent, most shares would be smaller than the requests that a daemon has, and the sum of one request each
/// could exceed the limit.
std::size_t sender_count(double requests_per_second);

/// Limits that endpoints name in their answers, as this daemon and others have seen them. A limit that nobody
/// has seen for a while is forgotten. Not thread-safe.
class endpoint_limits {
public:
    /// Records what an answer says about the endpoint's limit, nothing if it names none. Returns whether the
    /// other daemons should be told.
    bool record_answer(const base::endpoint_id& endpoint, std::optional<double> limit, base::time_point now);

    /// Records what another daemon has seen.
    void record_announcement(const base::endpoint_id& endpoint, std::optional<double> limit,
                             base::time_point now);

    /// Forgets limits that were not confirmed in time, and returns their endpoints.
    std::vector<base::endpoint_id> remove_expired(base::time_point now);

    std::optional<double> find(const base::endpoint_id& endpoint) const;

    std::vector<endpoint_limit> list() const;

private:
    struct entry {
        double limit = 0;
        base::time_point last_seen;
        base::time_point last_announced;
    };

    std::map<base::endpoint_id, entry> entries_;
};

} // namespace rattanbay::relay
