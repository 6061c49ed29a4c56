#include <rattanbay/base/random_source.hpp>

#include <workload.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::routing::experiment {

namespace {

constexpr std::size_t small_account_count = 4;
constexpr double booking_share = 0.15;
constexpr std::size_t prefix_count = 150;
/// Constant share of the mean processing time of a call; the rest is distributed exponentially.
constexpr double fixed_share = 0.5;

base::duration exponential_interval(base::random_source& random, double rate_per_second) {
    constexpr double us_per_second = 1e6;
    return base::duration(
        static_cast<std::int64_t>(-std::log(1 - random.unit()) / rate_per_second * us_per_second));
}

/// Draws a prefix from a skewed distribution: the square of a uniform number favours low indices.
std::uint64_t draw_prefix(base::random_source& random) {
    const double uniform = random.unit();
    return static_cast<std::uint64_t>(uniform * uniform * static_cast<double>(prefix_count));
}

void append_poisson_arrivals(std::vector<arrival>& arrivals, const installation& site, bool small,
                             double rate_per_second, base::time_point begin, base::time_point end,
                             base::random_source& random) {
    for (base::time_point time = begin + exponential_interval(random, rate_per_second); time < end;
         time += exponential_interval(random, rate_per_second)) {
        arrival next;
        next.at = time;
        next.small_account = small;
        const std::size_t account_index = small ? 1 + random.below(small_account_count) : 0;
        next.account = base::account_id("account" + std::to_string(account_index));
        next.entry_vm = random.below(site.entry_vm_count);
        next.booking = random.unit() < booking_share;
        next.prefix = draw_prefix(random);
        next.seed = random.bits();
        arrivals.push_back(next);
    }
}

} // namespace

std::vector<arrival> make_arrivals(const installation& site, const scenario& conditions, std::uint64_t seed) {
    base::random_source random(seed);
    const base::time_point begin{};
    std::vector<arrival> arrivals;
    const double half_rate = site.requests_per_second / 2;
    append_poisson_arrivals(arrivals, site, true, half_rate, begin, begin + run_length, random);
    append_poisson_arrivals(arrivals, site, false, half_rate, begin, begin + run_length, random);
    if (conditions.burst_factor > 1) {
        append_poisson_arrivals(arrivals, site, false, half_rate * (conditions.burst_factor - 1),
                                begin + disturbance_start, begin + disturbance_end, random);
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const arrival& lhs, const arrival& rhs) { return lhs.at < rhs.at; });
    return arrivals;
}

double work_factor(std::uint64_t request_seed, std::size_t stage, std::uint32_t attempt) {
    constexpr std::uint64_t seeds_per_stage = 1000;
    base::random_source random(request_seed + stage * seeds_per_stage + attempt);
    return fixed_share - (1 - fixed_share) * std::log(1 - random.unit());
}

} // namespace rattanbay::routing::experiment
