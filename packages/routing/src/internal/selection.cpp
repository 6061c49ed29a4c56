#include <internal/selection.hpp>

#include <algorithm>
#include <numeric>

namespace rattanbay::routing::internal {

namespace {

constexpr std::size_t max_local_candidates = 3;
/// Groups up to this size are sampled without replacement; in larger groups, repetitions are rare.
constexpr std::size_t max_shuffled_endpoints = 16;
constexpr std::size_t max_draws_per_candidate = 4;
/// Cost of crossing a failure domain at cost weight 1, as a multiple of the typical processing time.
constexpr double cross_domain_cost_factor = 2;
/// The replica preferred by affinity is selected if its score is at most this multiple of the best score.
constexpr double max_affinity_score_ratio = 1.5;
/// Processing times within this factor of the typical one count as equal to it. Means of a few calls differ
/// that much by chance, and following them would favour endpoints with randomly short calls.
constexpr double noise_factor = 1.5;
/// Keeps the penalty for failures finite.
constexpr double max_failure_rate = 0.9;

/// Moves a measured time towards the typical one by the part that random variation may explain.
double discount_noise(double measured_us, double typical_us) {
    if (measured_us > typical_us * noise_factor) {
        return measured_us / noise_factor;
    }
    return std::min(measured_us * noise_factor, typical_us);
}

/// Finalizer of SplitMix64.
std::uint64_t mix_bits(std::uint64_t value) {
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace

selection::selection(const routing_view& view, const service_entry& service, const route_request& request,
                     base::time_point now, base::random_source& random)
    : view_(view)
    , service_(service)
    , request_(request)
    , now_(now)
    , random_(random)
    , typical_processing_time_us_(service.typical_processing_time_us()) {}

std::optional<route> selection::choose() {
    sample(service_.local, max_local_candidates);
    // One place is reserved for a remote candidate; remote ones also fill the places without a local one.
    sample(service_.remote, max_candidates - candidate_count_);
    if (due_probe_ && due_probe_->state->claim_probe(now_)) {
        return make_route(*due_probe_);
    }
    if (candidate_count_ > 0) {
        const endpoint_entry* best = best_candidate();
        const endpoint_entry* preferred = request_.affinity ? preferred_replica() : nullptr;
        if (preferred &&
            estimate(*preferred).score_us <= max_affinity_score_ratio * estimate(*best).score_us) {
            best = preferred;
        }
        return make_route(*best);
    }
    const endpoint_entry* fallback = earliest_ejection_end(false);
    if (!fallback && request_.purpose == pipeline::attempt_purpose::retry) {
        fallback = earliest_ejection_end(true);
    }
    if (!fallback) {
        return std::nullopt;
    }
    // If the endpoint is ejected, the call acts as its probe.
    fallback->state->probe_in_flight.store(fallback->state->ejected_until_us.load() != 0);
    return make_route(*fallback);
}

selection::eligibility selection::eligibility_of(const endpoint_entry& candidate) const {
    if (candidate.info.state == object_api::vm_state::leaving ||
        candidate.state->leaving.load(std::memory_order_relaxed)) {
        return eligibility::unavailable;
    }
    const std::int64_t until_us = candidate.state->ejected_until_us.load(std::memory_order_acquire);
    if (until_us == 0) {
        return eligibility::available;
    }
    return until_us <= now_.time_since_epoch().count() ? eligibility::probe_due : eligibility::ejected;
}

bool selection::is_excluded(const endpoint_entry& candidate) const {
    return std::find(request_.excluded.begin(), request_.excluded.end(), candidate.info.id) !=
           request_.excluded.end();
}

void selection::sample(const std::vector<endpoint_entry>& group, std::size_t count) {
    if (group.size() <= max_shuffled_endpoints) {
        sample_without_replacement(group, count);
    } else {
        sample_with_replacement(group, count);
    }
}

void selection::sample_without_replacement(const std::vector<endpoint_entry>& group, std::size_t count) {
    std::array<std::size_t, max_shuffled_endpoints> order{};
    std::iota(order.begin(), order.end(), 0);
    const std::size_t target_count = candidate_count_ + count;
    for (std::size_t n = 0; n < group.size() && candidate_count_ < target_count; ++n) {
        std::swap(order[n], order[n + random_.below(group.size() - n)]);
        consider(group[order[n]]);
    }
}

void selection::sample_with_replacement(const std::vector<endpoint_entry>& group, std::size_t count) {
    const std::size_t initial_count = candidate_count_;
    const std::size_t target_count = candidate_count_ + count;
    for (std::size_t n = 0; n < max_draws_per_candidate * count && candidate_count_ < target_count; ++n) {
        consider(group[random_.below(group.size())]);
    }
    if (candidate_count_ > initial_count) {
        return;
    }
    const std::size_t offset = random_.below(group.size());
    for (std::size_t n = 0; n < group.size() && candidate_count_ < target_count; ++n) {
        consider(group[(offset + n) % group.size()]);
    }
}

void selection::consider(const endpoint_entry& candidate) {
    const eligibility status = eligibility_of(candidate);
    if (status == eligibility::unavailable || status == eligibility::ejected || is_excluded(candidate)) {
        return;
    }
    if (status == eligibility::probe_due) {
        const bool may_probe = request_.retryable && request_.purpose != pipeline::attempt_purpose::retry;
        due_probe_ = may_probe ? &candidate : due_probe_;
        return;
    }
    const auto end = candidates_.begin() + static_cast<std::ptrdiff_t>(candidate_count_);
    if (std::find(candidates_.begin(), end, &candidate) == end) {
        candidates_[candidate_count_++] = &candidate;
    }
}

const endpoint_entry* selection::best_candidate() const {
    const endpoint_entry* best = candidates_.front();
    double lowest_us = estimate(*best).score_us;
    for (std::size_t n = 1; n < candidate_count_; ++n) {
        const double score_us = estimate(*candidates_[n]).score_us;
        if (score_us < lowest_us) {
            best = candidates_[n];
            lowest_us = score_us;
        }
    }
    return best;
}

const endpoint_entry* selection::preferred_replica() const {
    const std::vector<endpoint_entry>& group = service_.local.empty() ? service_.remote : service_.local;
    const endpoint_entry* preferred = nullptr;
    std::uint64_t max_weight = 0;
    for (const endpoint_entry& replica : group) {
        const std::uint64_t weight = mix_bits(replica.id_hash ^ *request_.affinity);
        if (!preferred || weight > max_weight) {
            preferred = &replica;
            max_weight = weight;
        }
    }
    const bool available =
        preferred && eligibility_of(*preferred) == eligibility::available && !is_excluded(*preferred);
    return available ? preferred : nullptr;
}

const endpoint_entry* selection::earliest_ejection_end(bool include_excluded) const {
    const endpoint_entry* first = nullptr;
    std::int64_t earliest_us = 0;
    for (const std::vector<endpoint_entry>* group : {&service_.local, &service_.remote}) {
        for (const endpoint_entry& candidate : *group) {
            if (eligibility_of(candidate) == eligibility::unavailable ||
                (!include_excluded && is_excluded(candidate))) {
                continue;
            }
            const std::int64_t until_us = candidate.state->ejected_until_us.load(std::memory_order_acquire);
            if (!first || until_us < earliest_us) {
                first = &candidate;
                earliest_us = until_us;
            }
        }
    }
    return first;
}

call_estimate selection::estimate(const endpoint_entry& candidate) const {
    const endpoint_state& state = *candidate.state;
    const double network_latency_us =
        candidate.crosses_domain
            ? static_cast<double>(candidate.domain->extra_latency_us.load(std::memory_order_relaxed))
            : 0;
    const double outstanding = static_cast<double>(state.outstanding.load(std::memory_order_relaxed));
    const double slots = static_cast<double>(std::max<std::size_t>(service_.settings.max_concurrency, 1));
    const double load = (outstanding + state.decayed_load(typical_processing_time_us_, now_)) / slots;
    const double failure_rate =
        std::min(state.failure_rate.load(std::memory_order_relaxed), max_failure_rate);
    const double processing_time_us =
        std::max(0.0, state.expected_latency_us(typical_processing_time_us_ + network_latency_us, now_) -
                          network_latency_us);
    const double latency_us =
        discount_noise(processing_time_us, typical_processing_time_us_) * (1 + load) / (1 - failure_rate) +
        network_latency_us;
    const double cost_us = candidate.crosses_domain
                               ? view_.cost_weight * cross_domain_cost_factor * typical_processing_time_us_
                               : 0;
    return {latency_us, latency_us + cost_us};
}

route selection::make_route(const endpoint_entry& selected) const {
    const auto latency_us = static_cast<base::duration::rep>(estimate(selected).latency_us);
    return {selected.info.id, selected.info.address, selected.info.failure_domain, base::duration(latency_us),
            selected.crosses_domain};
}

} // namespace rattanbay::routing::internal
