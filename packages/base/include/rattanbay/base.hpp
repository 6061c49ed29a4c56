#pragma once

/// Types that all packages share: error values, identifiers, time, random numbers, hashes.
///
/// Parts:
/// - address.hpp: IPv4 address and port
/// - enum_names.hpp: tables of names for enumerations
/// - error.hpp: error values and the result type
/// - hash.hpp: SHA-256, HMAC, 128-bit hash
/// - identifier.hpp: distinct string types for identifiers
/// - incarnation.hpp: identity of one run of a daemon
/// - json.hpp: parsing JSON text of other processes within a bounded depth
/// - outcome.hpp: what is known about whether a request ran
/// - problem.hpp: a refusal or failure as callers see it
/// - random_source.hpp: seeded random numbers
/// - snapshot.hpp: read-copy-update holder
/// - time.hpp: time points and durations of the decision logic

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/json.hpp>
#include <rattanbay/base/outcome.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/base/time.hpp>
