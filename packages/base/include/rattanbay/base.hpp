#pragma once

/// Types shared by all packages: errors, identifiers, time, random numbers, hashes.
///
/// Parts:
/// - address.hpp: IPv4 address and port
/// - answer_time.hpp: time in which a request has to be answered so that its sender still waits
/// - enum_names.hpp: conversion between enumeration values and names
/// - error.hpp: error values and the result type
/// - hash.hpp: SHA-256, HMAC, 128-bit hash
/// - identifier.hpp: strongly typed string identifiers
/// - incarnation.hpp: identity of one daemon process
/// - json.hpp: parsing of untrusted JSON with a depth limit
/// - outcome.hpp: whether a request was executed
/// - problem.hpp: errors reported to callers
/// - random_source.hpp: seeded random number generator
/// - shared_budget.hpp: amount of a resource that several uses share, with guaranteed parts
/// - snapshot.hpp: value with read-copy-update access
/// - time.hpp: monotonic time points and durations
/// - utf8.hpp: check of texts

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/answer_time.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/json.hpp>
#include <rattanbay/base/outcome.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/shared_budget.hpp>
#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/base/utf8.hpp>
