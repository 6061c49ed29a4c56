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
    /// Length of a window.
    base::duration window = std::chrono::minutes(5);
    /// How long the answers of a window are kept.
    base::duration retention = std::chrono::hours(1);
    /// Least time between two commits; keys that arrive meanwhile share the next one.
    base::duration commit_interval = std::chrono::milliseconds(20);
    /// Longest wait for a commit before a key is refused.
    base::duration commit_limit = std::chrono::milliseconds(250);
    /// Size of the head's entries above which they move to a segment object.
    std::size_t segment_bytes = 16 * 1024;
};

/// Number of a run or of a platform call, unique within one owner.
using run_id = std::uint64_t;
using call_id = std::uint64_t;

/// A request with a key of this incarnation arrived, from a caller or forwarded by another VM.
struct arrived {
    keyed_request request;
};

/// A request with a key of this incarnation is to be refused with `not run`, for example by a
/// limit. The refusal is stored under the key before it is replied.
struct refusal_asked {
    keyed_request request;
    base::problem reason;
};

/// A run ended. A problem's outcome says what is known about the run.
struct run_ended {
    run_id run = 0;
    ledger::reply reply;
};

/// A platform call was answered.
struct call_answered {
    call_id call = 0;
    object_api::answer answer;
};

/// The time `next_wakeup` has come.
struct woken {};

/// The daemon stops: finish the commits and seal the record.
struct stop_asked {};

using owner_event = std::variant<arrived, refusal_asked, run_ended, call_answered, woken, stop_asked>;

/// Runs a request now, at most once; answered by `run_ended`.
struct start_run {
    run_id run = 0;
    keyed_request request;
};

/// Replies to a waiting request.
struct send_reply {
    waiter_id waiter = 0;
    ledger::reply reply;
};

/// Makes a platform call; answered by `call_answered`, with `failed` when no answer came in time. A
/// timeout of 100 ms leaves time to settle a lost answer within the commit limit.
struct make_call {
    call_id call = 0;
    object_api::call request;
};

/// The record is sealed after a `stop_asked`, or the platform could not be reached for it.
struct stopped {};

using owner_action = std::variant<start_run, send_reply, make_call, stopped>;

/// The at-most-once ledger of one incarnation: decides for each key whether it runs, and keeps
/// what became of it. A paused process may wake at any point between two calls of `handle`.
class owner {
public:
    owner(owner_options options, base::random_source random, base::time_point now);
    owner(owner&&) noexcept;
    owner& operator=(owner&&) noexcept;
    ~owner();

    std::vector<owner_action> handle(const owner_event& happened, base::time_point now);

    /// When `woken` is due at the latest.
    base::time_point next_wakeup() const;

    /// Prefix for callers: of class recorded while the record can be written, else unrecorded.
    key_prefix current_prefix() const;

    /// Whether a prefix names a ledger of this process, the current one or an earlier one that
    /// was sealed.
    bool owns(const key_prefix& prefix) const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace rattanbay::ledger
