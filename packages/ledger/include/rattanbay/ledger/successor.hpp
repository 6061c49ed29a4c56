#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/ledger/owner.hpp>

#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

namespace rattanbay::ledger {

/// Options of a successor.
struct successor_options {
    /// Memory limit for cached sealed records.
    std::size_t max_cache_bytes = 32 * 1024 * 1024;
    /// Maximum number of segments of one record that are read concurrently.
    std::size_t max_concurrent_reads = 4;
};

/// The owner of a request's key could not be reached, or the connection broke after the request was
/// forwarded.
struct owner_unreachable {
    keyed_request request;
};

using successor_event = std::variant<owner_unreachable, call_answered, timer_expired>;
using successor_action = std::variant<send_reply, make_call>;

/// Replies to requests whose owner cannot be reached. Seals the owner's record in the platform, so that the
/// owner can commit no more keys, and then replies from the sealed record.
class successor {
public:
    explicit successor(base::random_source random, successor_options options = {});
    successor(successor&&) noexcept;
    successor& operator=(successor&&) noexcept;
    ~successor();

    /// Processes an event and returns the actions to carry out, in order.
    std::vector<successor_action> handle(const successor_event& event, base::time_point now);

    /// Latest time at which `timer_expired` is due.
    base::time_point next_wakeup() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace rattanbay::ledger
