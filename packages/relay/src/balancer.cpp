#include <rattanbay/base/hash.hpp>
#include <rattanbay/relay/balancer.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::relay {

namespace {

/// Weight of the last call in moving averages.
constexpr double newest_weight = 0.2;
/// A call in another failure domain costs as much as this share of an endpoint's places in use.
constexpr double distance_cost = 0.3;
/// How much more an endpoint costs whose calls all fail.
constexpr double failure_cost = 8;
/// Bounds on the factor by which slow endpoints cost more.
constexpr double most_slowness = 8;
/// A report of an endpoint's load counts for this long.
constexpr std::chrono::milliseconds report_lifetime{500};
/// Failures in a row from which an endpoint is ejected.
constexpr std::uint32_t failures_to_eject = 2;
constexpr std::chrono::milliseconds least_ejection{500};
constexpr std::chrono::seconds most_ejection{5};
/// How far an endpoint's load may exceed the mean before requests with affinity go elsewhere.
constexpr double affinity_excess = 1.5;
constexpr double affinity_allowance = 2;

bool shows_fault(attempt_end end) {
    return end == attempt_end::not_sent || end == attempt_end::broken || end == attempt_end::timed_out;
}

bool shows_failure(attempt_end end) {
    return shows_fault(end) || end == attempt_end::answered_with_failure || end == attempt_end::declined;
}

base::duration ejection_time(std::uint32_t failures) {
    constexpr std::uint32_t most_doublings = 5;
    const std::uint32_t doublings = std::min(failures - failures_to_eject, most_doublings);
    return std::min<base::duration>(least_ejection * (1U << doublings), most_ejection);
}

} // namespace

balancer::balancer(base::failure_domain local, std::uint64_t seed)
    : local_(std::move(local))
    , random_(seed) {}

void balancer::publish(const object_api::vm_list& vms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<base::endpoint_id, endpoint_state> next;
    by_service_.clear();
    domains_.clear();
    for (const object_api::vm& listed : vms.vms) {
        const base::endpoint_id id(listed.id.text());
        const auto it = endpoints_.find(id);
        const bool same = it != endpoints_.end() && it->second.listed.address == listed.address;
        endpoint_state state = same ? it->second : endpoint_state{};
        state.listed = listed;
        if (next.emplace(id, std::move(state)).second) {
            by_service_[listed.service].push_back(id);
            domains_[listed.address] = listed.failure_domain;
        }
    }
    endpoints_ = std::move(next);
    ++generation_;
}

double balancer::usual_call_ms(const std::vector<base::endpoint_id>& ids) const {
    std::vector<double> times;
    for (const base::endpoint_id& id : ids) {
        const double time = endpoints_.at(id).call_ms;
        if (time > 0) {
            times.push_back(time);
        }
    }
    if (times.empty()) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

double balancer::cost(const endpoint_state& state, const base::failure_domain& near, double usual_ms,
                      base::time_point now) const {
    double busy = state.running;
    const bool reported = state.load && now - state.load_time < report_lifetime;
    if (reported) {
        busy = std::max(busy, static_cast<double>(state.load->running + state.load->waiting));
    }
    const double slots = std::max<double>(1, state.listed.slots);
    const double distance = state.listed.failure_domain == near ? 0 : distance_cost;
    const double slowness =
        usual_ms > 0 && state.call_ms > 0 ? std::clamp(state.call_ms / usual_ms, 1.0, most_slowness) : 1;
    return ((busy + 1) / slots + distance) * slowness * (1 + failure_cost * state.failure_share);
}

std::vector<balancer::candidate> balancer::candidates(const endpoint_question& question, base::time_point now,
                                                      bool with_ejected) const {
    std::vector<candidate> out;
    const auto it = by_service_.find(question.service);
    if (it == by_service_.end()) {
        return out;
    }
    const base::failure_domain& near = question.near.empty() ? local_ : question.near;
    const double usual_ms = usual_call_ms(it->second);
    for (const base::endpoint_id& id : it->second) {
        const endpoint_state& state = endpoints_.at(id);
        const bool takes_work = state.listed.state == object_api::vm_state::live;
        const bool tried = std::ranges::find(question.excluded, id) != question.excluded.end();
        const bool full = question.most_running > 0 && state.running >= question.most_running;
        const bool ejected = now < state.ejected_until;
        if (takes_work && !tried && !full && (with_ejected || !ejected)) {
            out.push_back(candidate{&state, cost(state, near, usual_ms, now)});
        }
    }
    return out;
}

std::optional<chosen_endpoint> balancer::choose(const endpoint_question& question, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<candidate> found = candidates(question, now, false);
    if (found.empty()) {
        found = candidates(question, now, true);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    return take(found, question);
}

chosen_endpoint balancer::take(const std::vector<candidate>& from, const endpoint_question& question) {
    double total = 0;
    for (const candidate& row : from) {
        total += row.state->running;
    }
    const double mean = total / static_cast<double>(from.size());
    const candidate* best = nullptr;
    double best_rank = 0;
    for (const candidate& row : from) {
        // Random numbers decide between endpoints of equal cost, so that daemons spread their calls.
        constexpr double spread = 0.02;
        double rank = row.cost * (1 + spread * random_.unit());
        const bool overloaded = row.state->running > affinity_allowance + affinity_excess * mean;
        if (question.affinity && !overloaded) {
            // Rendezvous hashing: all daemons choose the same endpoint for the same text, and a lost
            // endpoint moves only its own share.
            const base::hash128 drawn =
                base::fast_hash(*question.affinity + "/" + row.state->listed.id.text());
            constexpr double range = 18446744073709551616.0;
            rank = static_cast<double>(drawn.low) / range - 1;
        }
        if (best == nullptr || rank < best_rank) {
            best = &row;
            best_rank = rank;
        }
    }
    const object_api::vm& listed = best->state->listed;
    return chosen_endpoint{base::endpoint_id(listed.id.text()), listed.address, listed.failure_domain,
                           best->state->running, static_cast<std::uint32_t>(from.size())};
}

void balancer::started(const base::endpoint_id& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        ++it->second.running;
    }
}

void balancer::ended(const base::endpoint_id& endpoint, attempt_end end, base::duration took, double size,
                     base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end()) {
        return;
    }
    endpoint_state& state = it->second;
    state.running -= state.running > 0 ? 1 : 0;
    if (end == attempt_end::abandoned) {
        return;
    }
    state.failure_share += newest_weight * ((shows_failure(end) ? 1 : 0) - state.failure_share);
    if (end == attempt_end::answered) {
        const double ms = base::to_milliseconds(took) / std::max(size, 1e-3);
        state.call_ms = state.call_ms == 0 ? ms : state.call_ms + newest_weight * (ms - state.call_ms);
        state.failures_in_row = 0;
        state.ejected_until = {};
    }
    if (shows_fault(end)) {
        ++state.failures_in_row;
        if (state.failures_in_row >= failures_to_eject) {
            state.ejected_until = now + ejection_time(state.failures_in_row);
        }
    }
}

void balancer::reported(const base::endpoint_id& endpoint, const endpoint_load& load, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        it->second.load = load;
        it->second.load_time = now;
    }
}

bool balancer::is_usable(const base::endpoint_id& endpoint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    return it != endpoints_.end() && it->second.listed.state == object_api::vm_state::live;
}

base::failure_domain balancer::domain_at(const base::address& address) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = domains_.find(address);
    return it == domains_.end() ? base::failure_domain() : it->second;
}

std::vector<pool_endpoint> balancer::usable_endpoints(const base::service_name& service) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    std::vector<pool_endpoint> out;
    if (it != by_service_.end()) {
        for (const base::endpoint_id& id : it->second) {
            const object_api::vm& listed = endpoints_.at(id).listed;
            if (listed.state == object_api::vm_state::live) {
                out.push_back(pool_endpoint{id, listed.address, listed.failure_domain});
            }
        }
    }
    return out;
}

std::uint64_t balancer::generation() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return generation_;
}

std::optional<base::duration> balancer::usual_time(const base::service_name& service, double size) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    const double ms = it == by_service_.end() ? 0 : usual_call_ms(it->second);
    if (ms <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>(ms * size));
}

} // namespace rattanbay::relay
