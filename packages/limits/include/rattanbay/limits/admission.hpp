#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattanbay::limits {

/// Requests to start and to refuse after an event.
struct admission_decisions {
    /// Requests to start now, in this order.
    std::vector<base::request_id> start;
    /// Requests to refuse; they have not run and will not run.
    std::vector<base::request_id> refuse;
};

/// Limits the concurrent requests of this VM and queues the excess fairly between accounts. A free slot
/// goes to the waiting account with the fewest requests in progress and, within the account, to the request
/// with the earliest latest start. If the queue is full, the account with the most waiting requests loses
/// the request with the last latest start.
///
/// Thread-safe; each call holds a lock for a time logarithmic in the queue length.
class admission_controller {
public:
    /// `max_running` limits the requests in progress (at least 1), `max_waiting` the waiting requests.
    admission_controller(std::size_t max_running, std::size_t max_waiting);

    /// Changes both limits and returns the waiting requests that can start or must be refused as a result.
    /// Requests in progress continue even if they exceed a lowered limit.
    admission_decisions configure(std::size_t max_running, std::size_t max_waiting);

    /// Adds a request, whose identifier must not be in use. The request is refused if it cannot start by
    /// `deadline - min_run_time`, where `min_run_time` is the least time that it takes once started.
    admission_decisions submit(const base::request_id& id, const base::account_id& account,
                               base::time_point deadline, base::time_point now,
                               base::duration min_run_time = {});

    /// Removes a started request that ended, or a waiting one that its caller abandoned. Unknown
    /// identifiers are ignored.
    admission_decisions finish(const base::request_id& id, base::time_point now);

    /// Refuses all waiting requests that can no longer meet their deadline.
    admission_decisions expire(base::time_point now);

    /// Earliest time at which `expire` refuses a request; empty if none wait.
    std::optional<base::time_point> next_expiry() const;

    /// Number of requests in progress.
    std::size_t running() const;

    /// Number of waiting requests.
    std::size_t waiting() const;

private:
    /// Latest start and arrival number; the latter breaks ties in order of arrival.
    using queue_key = std::pair<base::time_point, std::uint64_t>;

    struct account_queue {
        std::size_t running = 0;
        /// Sequence number of the last slot granted to the account. Among accounts with equally many
        /// requests in progress, the one with the oldest grant is next.
        std::uint64_t last_grant = 0;
        std::map<queue_key, base::request_id> waiting;
    };

    /// Requests in progress, last grant and name of an account; free slots are granted in ascending order.
    using grant_key = std::tuple<std::size_t, std::uint64_t, base::account_id>;

    struct request_state {
        base::account_id account;
        /// Position in the queue while the request waits.
        std::optional<queue_key> key;
    };

    void enqueue(const base::request_id& id, const base::account_id& account, const queue_key& key);
    void remove_waiting(const base::request_id& id);
    void refuse_expired(base::time_point now, admission_decisions& decisions);
    void refuse_excess(admission_decisions& decisions);
    void start_waiting(admission_decisions& decisions);
    void start(base::request_id id, admission_decisions& decisions);
    grant_key grant_key_of(const base::account_id& account) const;
    void remove_if_idle(const base::account_id& account);

    mutable std::mutex mutex_;
    std::size_t max_running_;
    std::size_t max_waiting_;
    std::size_t running_ = 0;
    std::uint64_t arrival_count_ = 0;
    std::uint64_t grant_count_ = 0;
    std::unordered_map<base::request_id, request_state> requests_;
    std::unordered_map<base::account_id, account_queue> accounts_;
    /// Accounts with waiting requests, in the order in which they get free slots.
    std::set<grant_key> grant_order_;
    /// Waiting requests of all accounts, ordered by latest start.
    std::map<queue_key, base::request_id> waiting_;
    /// Queue length and name of each account with waiting requests.
    std::set<std::pair<std::size_t, base::account_id>> queue_lengths_;
};

} // namespace rattanbay::limits
