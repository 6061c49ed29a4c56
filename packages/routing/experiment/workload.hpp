#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <installation.hpp>
#include <scenario.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattanbay::routing::experiment {

/// Arrival of a request of a caller; the same under every policy.
struct arrival {
    base::time_point at;
    base::account_id account;
    bool small_account = false;
    std::size_t entry_vm = 0;
    /// A booking is a single call that may not be retried; other requests have four stages.
    bool booking = false;
    /// Hash of the prompt's prefix.
    std::uint64_t prefix = 0;
    /// Seed of the processing times of its calls.
    std::uint64_t seed = 0;
};

/// Draws Poisson arrivals over `run_length` from `seed`.
std::vector<arrival> make_arrivals(const installation& site, const scenario& conditions, std::uint64_t seed);

/// Factor on the mean processing time of a call; its mean is 1. A call has the same factor under every
/// policy.
double work_factor(std::uint64_t request_seed, std::size_t stage, std::uint32_t attempt);

} // namespace rattanbay::routing::experiment
