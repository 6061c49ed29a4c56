#pragma once

/// At-most-once execution of non-idempotent requests.
///
/// Parts:
/// - key.hpp: idempotency keys and their prefixes
/// - owner.hpp: ledger of the incarnation named in a key, the only one that may run the request
/// - reply.hpp: requests with idempotency keys and their replies
/// - successor.hpp: replies for keys of incarnations that cannot be reached

#include <rattanbay/ledger/key.hpp>
#include <rattanbay/ledger/owner.hpp>
#include <rattanbay/ledger/reply.hpp>
#include <rattanbay/ledger/successor.hpp>
