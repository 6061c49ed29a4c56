#include <rattanbay/base/hash.hpp>
#include <rattanbay/membership/eligibility.hpp>
#include <rattanbay/membership/pool_plan.hpp>

#include <algorithm>
#include <bit>
#include <chrono>
#include <iterator>

namespace rattanbay::membership {

namespace {

/// Processor time of 1/100 of a core, in microseconds per second.
constexpr std::uint64_t microseconds_per_percent = 10'000;

/// Rendezvous score; the lowest one is preferred. With equal weights, the highest hash is preferred.
struct rendezvous_score {
    double cost = 0;
    base::hash128 hash;

    friend bool operator<(const rendezvous_score& lhs, const rendezvous_score& rhs) {
        return lhs.cost != rhs.cost ? lhs.cost < rhs.cost : rhs.hash < lhs.hash;
    }
};

struct ranked_member {
    const peer::member_record* member = nullptr;
    rendezvous_score score;
    std::uint64_t capacity_percent = 0;
    /// Number of endpoints to schedule.
    std::size_t quota = 0;
};

/// Returns -log2(hash / 2^64) as a fixed-point number with 32 fractional bits. Computed with integers, as the
/// results of the C library's logarithm may differ between processor types.
std::uint64_t negative_log2(std::uint64_t hash) {
    constexpr int fraction_bits = 32;
    const std::uint64_t value = std::max<std::uint64_t>(hash, 1);
    const int exponent = static_cast<int>(std::bit_width(value)) - 1;
    std::uint64_t mantissa = (value << (63 - exponent)) >> fraction_bits;
    std::uint64_t logarithm = static_cast<std::uint64_t>(exponent);
    for (int n = 0; n < fraction_bits; ++n) {
        mantissa = (mantissa * mantissa) >> (fraction_bits - 1);
        const std::uint64_t bit = mantissa >> fraction_bits;
        mantissa >>= bit;
        logarithm = (logarithm << 1U) | bit;
    }
    return (std::uint64_t{64} << fraction_bits) - logarithm;
}

/// Weighted rendezvous hashing: the probability of the lowest score is proportional to the weight.
rendezvous_score score_of(const std::string& text, double weight) {
    const base::hash128 hash = base::fast_hash(text);
    return {static_cast<double>(negative_log2(hash.high)) / weight, hash};
}

std::vector<ranked_member> rank_members(const std::vector<peer::member_record>& members,
                                        const base::service_name& service) {
    std::vector<ranked_member> out;
    for (const peer::member_record& member : members) {
        if (!is_eligible(member)) {
            continue;
        }
        const std::uint32_t capacity =
            member.processor_percent > 0 ? member.processor_percent : default_processor_percent;
        const double weight = static_cast<double>(capacity) * capacity * capacity;
        out.push_back(
            {&member, score_of(service.text() + "/" + member.peer_address.text(), weight), capacity, 0});
    }
    std::sort(out.begin(), out.end(),
              [](const ranked_member& lhs, const ranked_member& rhs) { return lhs.score < rhs.score; });
    return out;
}

/// Processor time for scheduling one endpoint at its full throughput, in microseconds per second.
std::uint64_t load_per_endpoint(const config::piece_limits& limits) {
    constexpr std::uint64_t microseconds_per_second = 1'000'000;
    const std::uint64_t pieces =
        static_cast<std::uint64_t>(limits.max_concurrent_calls) * limits.max_batch_size;
    const base::duration full_call =
        limits.call_overhead + limits.time_per_piece * static_cast<std::int64_t>(limits.max_batch_size);
    const std::int64_t call_us = std::chrono::duration_cast<std::chrono::microseconds>(full_call).count();
    return pieces * scheduling_time_per_piece_us * microseconds_per_second /
           static_cast<std::uint64_t>(std::max<std::int64_t>(call_us, 1));
}

/// Sets the quotas; their sum is the number of endpoints.
void set_quotas(std::vector<ranked_member>& ranking, std::uint64_t endpoint_load, std::size_t endpoints) {
    std::size_t remaining = endpoints;
    for (ranked_member& row : ranking) {
        const std::uint64_t budget =
            row.capacity_percent * microseconds_per_percent / scheduling_budget_divisor;
        row.quota = std::min<std::uint64_t>(remaining, budget / std::max<std::uint64_t>(endpoint_load, 1));
        remaining -= row.quota;
    }
    // The pool is larger than the budgets: the least loaded daemon takes each remaining endpoint.
    for (; remaining > 0; --remaining) {
        const auto least_loaded = std::min_element(
            ranking.begin(), ranking.end(), [](const ranked_member& lhs, const ranked_member& rhs) {
                return (lhs.quota + 1) * rhs.capacity_percent < (rhs.quota + 1) * lhs.capacity_percent;
            });
        ++least_loaded->quota;
    }
}

/// Endpoints that a shard takes at most. The reserve of a quarter keeps a change of one endpoint or daemon
/// from displacing endpoints of all shards.
std::size_t max_endpoints(std::size_t quota) {
    return quota + (quota + 3) / 4;
}

/// Divides the endpoints among the members with a quota by weighted rendezvous hashing. Returns the endpoints
/// of each member.
std::vector<std::vector<relay::pool_endpoint>> divide_endpoints(const std::vector<ranked_member>& schedulers,
                                                                std::vector<relay::pool_endpoint> endpoints) {
    std::sort(
        endpoints.begin(), endpoints.end(),
        [](const relay::pool_endpoint& lhs, const relay::pool_endpoint& rhs) { return lhs.id < rhs.id; });
    std::vector<std::vector<relay::pool_endpoint>> out(schedulers.size());
    for (relay::pool_endpoint& endpoint : endpoints) {
        std::size_t best = schedulers.size();
        rendezvous_score best_score;
        for (std::size_t n = 0; n < schedulers.size(); ++n) {
            if (out[n].size() >= max_endpoints(schedulers[n].quota)) {
                continue;
            }
            const rendezvous_score score =
                score_of(endpoint.id.text() + "/" + schedulers[n].member->peer_address.text(),
                         static_cast<double>(schedulers[n].quota));
            if (best == schedulers.size() || score < best_score) {
                best = n;
                best_score = score;
            }
        }
        out[best].push_back(std::move(endpoint));
    }
    return out;
}

/// Sets the fallbacks: the schedulers of the other shards, which call no endpoints of a shard that are not
/// theirs, then the members that schedule no shard, in the order of the ranking.
void set_fallbacks(std::vector<pool_shard>& shards, const std::vector<ranked_member>& ranking) {
    for (std::size_t n = 0; n < shards.size(); ++n) {
        std::vector<peer::member_record>& fallbacks = shards[n].fallbacks;
        for (std::size_t k = 1; k < shards.size() && fallbacks.size() < max_scheduler_fallbacks; ++k) {
            fallbacks.push_back(shards[(n + k) % shards.size()].scheduler);
        }
        for (const ranked_member& row : ranking) {
            if (fallbacks.size() == max_scheduler_fallbacks) {
                break;
            }
            const bool is_scheduler = std::ranges::any_of(
                shards, [&row](const pool_shard& shard) { return shard.scheduler.id == row.member->id; });
            if (!is_scheduler) {
                fallbacks.push_back(*row.member);
            }
        }
    }
}

} // namespace

const pool_shard* pool_plan::find(const base::incarnation& scheduler) const {
    const auto it = std::ranges::find_if(
        shards, [&scheduler](const pool_shard& shard) { return shard.scheduler.id == scheduler; });
    return it != shards.end() ? &*it : nullptr;
}

pool_plan plan_pool(const std::vector<peer::member_record>& members, const base::service_name& service,
                    const config::piece_limits& limits, const std::vector<relay::pool_endpoint>& endpoints) {
    pool_plan out;
    std::vector<ranked_member> ranking = rank_members(members, service);
    if (ranking.empty()) {
        return out;
    }
    const std::uint64_t endpoint_load = load_per_endpoint(limits);
    set_quotas(ranking, endpoint_load, endpoints.size());
    std::vector<ranked_member> schedulers;
    std::copy_if(ranking.begin(), ranking.end(), std::back_inserter(schedulers),
                 [](const ranked_member& row) { return row.quota > 0; });
    std::vector<std::vector<relay::pool_endpoint>> parts = divide_endpoints(schedulers, endpoints);
    for (std::size_t n = 0; n < schedulers.size(); ++n) {
        if (!parts[n].empty()) {
            const std::uint64_t load = endpoint_load * parts[n].size();
            out.shards.push_back({*schedulers[n].member, std::move(parts[n]), load, {}});
        }
    }
    if (out.shards.empty()) {
        out.shards.push_back({*ranking.front().member, {}, 0, {}});
    }
    set_fallbacks(out.shards, ranking);
    for (std::size_t n = 0; n < out.shards.size(); ++n) {
        for (const relay::pool_endpoint& endpoint : out.shards[n].endpoints) {
            out.shard_by_address.emplace(endpoint.address, n);
        }
    }
    return out;
}

const pool_shard* select_shard(const pool_plan& plan, std::string_view key,
                               const base::failure_domain& preferred_domain) {
    const auto count_in = [&plan](std::size_t n, const base::failure_domain& domain) {
        return static_cast<std::size_t>(
            std::ranges::count_if(plan.shards[n].endpoints, [&domain](const relay::pool_endpoint& endpoint) {
                return domain.empty() || endpoint.failure_domain == domain;
            }));
    };
    std::vector<std::size_t> counts;
    std::size_t total = 0;
    const auto count_all = [&](const base::failure_domain& domain) {
        counts.clear();
        total = 0;
        for (std::size_t n = 0; n < plan.shards.size(); ++n) {
            counts.push_back(count_in(n, domain));
            total += counts.back();
        }
    };
    count_all(preferred_domain);
    if (total == 0 && !preferred_domain.empty()) {
        count_all({});
    }
    if (total == 0) {
        return plan.shards.empty() ? nullptr : &plan.shards.front();
    }
    std::uint64_t position = base::fast_hash(key).high % total;
    std::size_t n = 0;
    while (position >= counts[n]) {
        position -= counts[n];
        ++n;
    }
    return &plan.shards[n];
}

} // namespace rattanbay::membership
