#pragma once

#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/ledger/key.hpp>

#include <cstdint>
#include <string>
#include <variant>

namespace rattanbay::ledger {

/// Complete response as sent to the caller.
struct response {
    int status = 0;
    /// JSON text.
    std::string body;

    friend bool operator==(const response&, const response&) = default;
};

/// Reply to a request with a key: the complete response of its first run, or a problem.
using reply = std::variant<response, base::problem>;

/// Identifier of a request that waits for a reply, assigned by the code that drives the state machine.
using waiter_id = std::uint64_t;

/// A request with an idempotency key.
struct keyed_request {
    waiter_id waiter = 0;
    base::account_id account;
    ledger::key key;
    /// Hash of the pipeline name and the request body.
    base::hash128 body_hash;
    base::time_point deadline;
};

} // namespace rattanbay::ledger
