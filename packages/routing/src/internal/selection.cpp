#include <internal/selection.hpp>

#include <algorithm>
#include <numeric>

namespace rattanbay::routing::internal {

namespace {

constexpr std::size_t local_candidates = 3;
/// Up to this many endpoints are drawn without repetition; above it, repetitions are rare.
constexpr std::size_t few_endpoints = 16;
constexpr std::size_t draws_per_candidate = 4;
/// Usual times of a call by which crossing a failure domain is dearer at cost weight 1.
constexpr double crossing_cost = 2;
/// A preferred replica is taken while its rank is at most this many times the best one.
constexpr double affinity_bound = 1.5;
/// Means within this factor of the usual time count as equal to it: the means of a few calls differ
/// that much by chance, and following them sends calls to endpoints that were lucky.
constexpr double notable_factor = 1.5;
/// Keeps the penalty of failures finite.
constexpr double largest_failure_rate = 0.9;

/// The measured time less the part that chance explains.
double notable_time(double measured, double typical) {
    if (measured > typical * notable_factor) {
        return measured / notable_factor;
    }
    return std::min(measured * notable_factor, typical);
}

std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

selection::selection(const view& table, const service_view& service, const route_request& request,
                     base::time_point now, base::random_source& random)
    : table_(table)
    , service_(service)
    , request_(request)
    , now_(now)
    , random_(random)
    , typical_(service.typical_time()) {}

std::optional<route> selection::choose() {
    draw(service_.local, local_candidates);
    // One from outside, and more in place of those that the local failure domain lacks.
    draw(service_.remote, most_candidates - count_);
    if (probe_ && probe_->state->claim_probe(now_)) {
        return make_route(*probe_);
    }
    if (count_ > 0) {
        const entry* best = best_candidate();
        const entry* preferred = request_.affinity ? preferred_replica() : nullptr;
        if (preferred && estimate(*preferred).rank <= affinity_bound * estimate(*best).rank) {
            best = preferred;
        }
        return make_route(*best);
    }
    const entry* last_resort = first_to_return(false);
    if (!last_resort && request_.purpose == pipeline::attempt_purpose::retry) {
        last_resort = first_to_return(true);
    }
    if (!last_resort) {
        return std::nullopt;
    }
    // Its result decides on the ejection like that of a probe.
    last_resort->state->probing.store(last_resort->state->ejected_until.load() != 0);
    return make_route(*last_resort);
}

selection::eligibility selection::eligibility_of(const entry& candidate) const {
    if (candidate.listed.state == object_api::vm_state::leaving ||
        candidate.state->leaving.load(std::memory_order_relaxed)) {
        return eligibility::unavailable;
    }
    const std::int64_t until = candidate.state->ejected_until.load(std::memory_order_acquire);
    if (until == 0) {
        return eligibility::usable;
    }
    return until <= now_.time_since_epoch().count() ? eligibility::probe_due : eligibility::ejected;
}

bool selection::excluded(const entry& candidate) const {
    return std::find(request_.excluded.begin(), request_.excluded.end(), candidate.listed.id) !=
           request_.excluded.end();
}

void selection::draw(const std::vector<entry>& side, std::size_t count) {
    if (side.size() <= few_endpoints) {
        draw_from_few(side, count);
    } else {
        draw_from_many(side, count);
    }
}

void selection::draw_from_few(const std::vector<entry>& side, std::size_t count) {
    std::array<std::size_t, few_endpoints> order{};
    std::iota(order.begin(), order.end(), 0);
    const std::size_t enough = count_ + count;
    for (std::size_t n = 0; n < side.size() && count_ < enough; ++n) {
        std::swap(order[n], order[n + random_.below(side.size() - n)]);
        consider(side[order[n]]);
    }
}

void selection::draw_from_many(const std::vector<entry>& side, std::size_t count) {
    const std::size_t before = count_;
    const std::size_t enough = count_ + count;
    for (std::size_t n = 0; n < draws_per_candidate * count && count_ < enough; ++n) {
        consider(side[random_.below(side.size())]);
    }
    if (count_ > before) {
        return;
    }
    const std::size_t start = random_.below(side.size());
    for (std::size_t n = 0; n < side.size() && count_ < enough; ++n) {
        consider(side[(start + n) % side.size()]);
    }
}

void selection::consider(const entry& drawn) {
    const eligibility state = eligibility_of(drawn);
    if (state == eligibility::unavailable || state == eligibility::ejected || excluded(drawn)) {
        return;
    }
    if (state == eligibility::probe_due) {
        const bool may_probe = request_.repeatable && request_.purpose != pipeline::attempt_purpose::retry;
        probe_ = may_probe ? &drawn : probe_;
        return;
    }
    const auto end = candidates_.begin() + static_cast<std::ptrdiff_t>(count_);
    if (std::find(candidates_.begin(), end, &drawn) == end) {
        candidates_[count_++] = &drawn;
    }
}

const entry* selection::best_candidate() const {
    const entry* best = candidates_.front();
    double lowest = estimate(*best).rank;
    for (std::size_t n = 1; n < count_; ++n) {
        const double rank = estimate(*candidates_[n]).rank;
        if (rank < lowest) {
            best = candidates_[n];
            lowest = rank;
        }
    }
    return best;
}

const entry* selection::preferred_replica() const {
    const std::vector<entry>& side = service_.local.empty() ? service_.remote : service_.local;
    const entry* preferred = nullptr;
    std::uint64_t highest = 0;
    for (const entry& replica : side) {
        const std::uint64_t weight = mix(replica.key ^ *request_.affinity);
        if (!preferred || weight > highest) {
            preferred = &replica;
            highest = weight;
        }
    }
    const bool usable =
        preferred && eligibility_of(*preferred) == eligibility::usable && !excluded(*preferred);
    return usable ? preferred : nullptr;
}

const entry* selection::first_to_return(bool with_excluded) const {
    const entry* first = nullptr;
    std::int64_t earliest = 0;
    for (const std::vector<entry>* side : {&service_.local, &service_.remote}) {
        for (const entry& candidate : *side) {
            if (eligibility_of(candidate) == eligibility::unavailable ||
                (!with_excluded && excluded(candidate))) {
                continue;
            }
            const std::int64_t until = candidate.state->ejected_until.load(std::memory_order_acquire);
            if (!first || until < earliest) {
                first = &candidate;
                earliest = until;
            }
        }
    }
    return first;
}

call_estimate selection::estimate(const entry& candidate) const {
    const endpoint_state& state = *candidate.state;
    const double way = candidate.crosses
                           ? static_cast<double>(candidate.domain->distance.load(std::memory_order_relaxed))
                           : 0;
    const double outstanding = static_cast<double>(state.outstanding.load(std::memory_order_relaxed));
    const double slots = static_cast<double>(std::max<std::size_t>(service_.settings.max_concurrency, 1));
    const double load = (outstanding + state.aged_load(typical_, now_)) / slots;
    const double failures =
        std::min(state.failure_rate.load(std::memory_order_relaxed), largest_failure_rate);
    const double work = std::max(0.0, state.expected_time(typical_ + way, now_) - way);
    const double time = notable_time(work, typical_) * (1 + load) / (1 - failures) + way;
    const double cost = candidate.crosses ? table_.cost_weight * crossing_cost * typical_ : 0;
    return {time, time + cost};
}

route selection::make_route(const entry& chosen) const {
    const auto time = static_cast<base::duration::rep>(estimate(chosen).time);
    return {chosen.listed.id, chosen.listed.address, chosen.listed.failure_domain, base::duration(time),
            chosen.crosses};
}

} // namespace rattanbay::routing::internal
