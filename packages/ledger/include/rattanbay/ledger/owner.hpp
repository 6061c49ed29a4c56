#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/ledger/reply.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::ledger {

/// Options of an owner.
struct owner_options {
    base::address peer_address;
    std::string cluster_secret;
    /// Duration of one key window.
    base::duration window_length = std::chrono::minutes(5);
    /// How long the replies of a window are kept after the window accepts no more new keys.
    base::duration retention = std::chrono::hours(1);
    /// Minimum time between two commits. Keys that arrive in between share the next commit.
    base::duration commit_interval = std::chrono::milliseconds(20);
    /// Maximum time a key waits for its commit before it is refused.
    base::duration commit_timeout = std::chrono::milliseconds(250);
    /// Total size of the entries in the head above which they are flushed to a segment object.
    std::size_t segment_threshold_bytes = 16 * 1024;
};

/// Identifier of a run or of a platform call, unique within one owner or successor.
using run_id = std::uint64_t;
using call_id = std::uint64_t;

/// A request with a key of this incarnation arrived from a caller or was forwarded by another VM.
struct request_arrived {
    keyed_request request;
};

/// A request with a key of this incarnation is to be refused with `not_run`, for example because a limit
/// was exceeded. The refusal is stored under the key before the reply is sent.
struct refusal_requested {
    keyed_request request;
    base::problem reason;
};

/// A run ended. If the reply is a problem, its outcome states whether the request ran.
struct run_ended {
    run_id run = 0;
    ledger::reply reply;
};

/// A platform call completed.
struct call_answered {
    call_id call = 0;
    object_api::answer answer;
};

/// The time returned by `next_wakeup` was reached.
struct timer_expired {};

/// The daemon is shutting down; pending commits are finished and the record is sealed.
struct stop_requested {};

using owner_event =
    std::variant<request_arrived, refusal_requested, run_ended, call_answered, timer_expired, stop_requested>;

/// Run the request now, at most once. Completed by `run_ended`.
struct start_run {
    run_id run = 0;
    keyed_request request;
};

/// Send the reply to a waiting request.
struct send_reply {
    waiter_id waiter = 0;
    ledger::reply reply;
};

/// Make a platform call. Completed by `call_answered`, with `failed` if the call timed out. A timeout of
/// 100 ms leaves enough time to resolve a lost answer within the commit timeout.
struct make_call {
    call_id call = 0;
    object_api::call request;
};

/// After `stop_requested`, the record was sealed or the attempt to seal it was given up.
struct stopped {};

using owner_action = std::variant<start_run, send_reply, make_call, stopped>;

/// At-most-once ledger of one incarnation. Decides for each key whether its request runs, and stores the
/// reply. The process may be paused for any time between two calls of `handle` without losing the guarantee.
class owner {
public:
    owner(owner_options options, base::random_source random, base::time_point now);
    owner(owner&&) noexcept;
    owner& operator=(owner&&) noexcept;
    ~owner();

    /// Processes an event and returns the actions to carry out, in order.
    std::vector<owner_action> handle(const owner_event& event, base::time_point now);

    /// Latest time at which `timer_expired` is due.
    base::time_point next_wakeup() const;

    /// Prefix to issue to callers: `recorded` while the record can be written, otherwise `unrecorded`.
    key_prefix current_prefix() const;

    /// Whether a prefix belongs to a ledger of this process, either the current one or an earlier one that
    /// was sealed.
    bool owns(const key_prefix& prefix) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace rattanbay::ledger
