#include <rattanbay/base/hash.hpp>
#include <rattanbay/relay/balancer.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::relay {

namespace {

/// Weight of the latest call in exponential moving averages.
constexpr double moving_average_weight = 0.2;
/// Cost of a call to another failure domain, in the same unit as the fraction of an endpoint's slots in use.
constexpr double cross_domain_cost = 0.3;
/// Relative additional cost of an endpoint whose calls all fail.
constexpr double failure_cost_factor = 8;
/// Maximum factor by which slow response times increase the cost of an endpoint.
constexpr double max_slowness = 8;
/// Time after which a load report of an endpoint is ignored.
constexpr std::chrono::milliseconds load_report_lifetime{500};
/// Number of consecutive connection failures from which an endpoint is ejected.
constexpr std::uint32_t ejection_threshold = 2;
/// The ejection time starts at the minimum and doubles with each further failure up to the maximum.
constexpr std::chrono::milliseconds min_ejection_time{500};
constexpr std::chrono::seconds max_ejection_time{5};
/// Requests with affinity go elsewhere if their endpoint has more calls in progress than the mean times this
/// factor plus the margin.
constexpr double affinity_load_factor = 1.5;
constexpr double affinity_load_margin = 2;

/// Endpoints of a service from which shared speeds are used. With fewer, a daemon sees each of them often
/// enough to learn from its own calls, and moving prompt parts between them costs more than it gains.
constexpr std::size_t min_engines_for_speeds = 64;

/// Bounds the time between two requests to an endpoint that takes hardly any.
constexpr double min_request_rate = 0.1;

/// Endpoints that are not listed now and whose pauses are remembered, in case they return.
constexpr std::size_t max_lapsed_pauses = 256;

bool is_connection_failure(attempt_result result) {
    return result == attempt_result::not_sent || result == attempt_result::broken ||
           result == attempt_result::timed_out;
}

bool is_failure(attempt_result result) {
    return is_connection_failure(result) || result == attempt_result::answered_with_failure ||
           result == attempt_result::declined;
}

base::duration ejection_time(std::uint32_t failures) {
    constexpr std::uint32_t max_doublings = 5;
    const std::uint32_t doublings = std::min(failures - ejection_threshold, max_doublings);
    return std::min<base::duration>(min_ejection_time * (1U << doublings), max_ejection_time);
}

} // namespace

balancer::balancer(base::failure_domain local_domain, std::uint64_t seed)
    : local_domain_(std::move(local_domain))
    , random_(seed) {}

std::vector<base::address> balancer::update(const object_api::vm_list& vms) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::map<base::endpoint_id, endpoint_state> next;
    std::vector<base::address> new_addresses;
    by_service_.clear();
    id_by_address_.clear();
    for (const object_api::vm& vm : vms.vms) {
        const base::endpoint_id id(vm.id.text());
        const auto it = endpoints_.find(id);
        const bool same = it != endpoints_.end() && it->second.vm.address == vm.address;
        endpoint_state state = same ? it->second : endpoint_state{};
        const bool returns =
            state.vm.state == object_api::vm_state::leaving && vm.state == object_api::vm_state::live;
        state.is_leaving = state.is_leaving && !returns;
        if (same && state.vm.started_ms != 0 && vm.started_ms > state.vm.started_ms) {
            forget_process(state);
        }
        if (it == endpoints_.end()) {
            state.paused_until = take_lapsed_pause(vm);
        }
        state.vm = vm;
        state.is_evacuated = evacuated_.contains(vm.failure_domain);
        state.key = key_of(id);
        if (next.emplace(id, std::move(state)).second) {
            by_service_[vm.service].push_back(id);
            id_by_address_[vm.address] = id;
            if (!same) {
                new_addresses.push_back(vm.address);
            }
        }
    }
    remember_pauses(next);
    endpoints_ = std::move(next);
    ++generation_;
    return new_addresses;
}

void balancer::set_evacuated(std::set<base::failure_domain> domains, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const base::failure_domain& domain : evacuated_) {
        if (cold_ && !domains.contains(domain)) {
            cold_->record_return(domain, now);
        }
    }
    evacuated_ = std::move(domains);
    for (auto& row : endpoints_) {
        row.second.is_evacuated = evacuated_.contains(row.second.vm.failure_domain);
    }
    ++generation_;
}

void balancer::forget_process(endpoint_state& state) {
    endpoint_state fresh;
    // Calls in progress still end, and a limit on requests is told by daemons for as long as it holds.
    fresh.running = state.running;
    fresh.allowance = state.allowance;
    fresh.request_limit = state.request_limit;
    state = std::move(fresh);
}

void balancer::remember_pauses(const std::map<base::endpoint_id, endpoint_state>& next) {
    for (const auto& [id, state] : endpoints_) {
        if (state.paused_until != base::time_point() && !next.contains(id)) {
            lapsed_pauses_.push_back({id, state.vm.address, state.vm.started_ms, state.paused_until});
        }
    }
    while (lapsed_pauses_.size() > max_lapsed_pauses) {
        lapsed_pauses_.pop_front();
    }
}

base::time_point balancer::take_lapsed_pause(const object_api::vm& vm) {
    const auto it = std::ranges::find_if(lapsed_pauses_, [&vm](const lapsed_pause& row) {
        return row.endpoint.text() == vm.id.text() && row.address == vm.address &&
               row.started_ms == vm.started_ms;
    });
    if (it == lapsed_pauses_.end()) {
        return {};
    }
    const base::time_point until = it->until;
    lapsed_pauses_.erase(it);
    return until;
}

double balancer::median_call_ms(const std::vector<base::endpoint_id>& ids) const {
    std::vector<double> samples;
    for (const base::endpoint_id& id : ids) {
        const double ms = endpoints_.at(id).call_ms;
        if (ms > 0) {
            samples.push_back(ms);
        }
    }
    if (samples.empty()) {
        return 0;
    }
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
    std::nth_element(samples.begin(), middle, samples.end());
    return *middle;
}

double balancer::cost(const endpoint_state& state, const base::failure_domain& preferred_domain,
                      double median_ms, base::time_point now) const {
    double busy = state.running;
    const bool is_report_fresh = state.load && now - state.load_time < load_report_lifetime;
    if (is_report_fresh) {
        busy = std::max(busy, static_cast<double>(state.load->running + state.load->waiting));
    }
    const double slots = std::max<double>(1, state.vm.slots);
    const double domain_cost = state.vm.failure_domain == preferred_domain ? 0 : cross_domain_cost;
    const double slowness =
        median_ms > 0 && state.call_ms > 0 ? std::clamp(state.call_ms / median_ms, 1.0, max_slowness) : 1;
    return ((busy + 1) / slots + domain_cost) * slowness * (1 + failure_cost_factor * state.failure_rate);
}

std::vector<balancer::candidate> balancer::candidates(const endpoint_query& query, base::time_point now,
                                                      bool include_ejected) const {
    std::vector<candidate> out;
    const auto it = by_service_.find(query.service);
    if (it == by_service_.end()) {
        return out;
    }
    const base::failure_domain& preferred_domain =
        query.preferred_domain.empty() ? local_domain_ : query.preferred_domain;
    const double median_ms = median_call_ms(it->second);
    for (const base::endpoint_id& id : it->second) {
        const endpoint_state& state = endpoints_.at(id);
        const bool wants_work = takes_request(state, now) && (!cold_ || cold_->allows(id, now));
        const bool tried = std::ranges::find(query.excluded, id) != query.excluded.end();
        const bool full = query.max_running > 0 && state.running >= query.max_running;
        const bool ejected = now < state.ejected_until;
        const bool fits = !query.software_version || state.vm.software_version == *query.software_version;
        if (fits && wants_work && !tried && !full && (include_ejected || !ejected)) {
            const double speed_weight = it->second.size() < min_engines_for_speeds
                                            ? 1
                                            : speeds_.weight(state.key, query.speed_exponent, now);
            const double weight = speed_weight * (cold_ ? cold_->sender_weight(id, now) : 1);
            out.push_back(candidate{&state, cost(state, preferred_domain, median_ms, now) / weight, weight});
        }
    }
    return out;
}

std::optional<chosen_endpoint> balancer::choose(const endpoint_query& query, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<candidate> available = candidates(query, now, false);
    if (available.empty()) {
        available = candidates(query, now, true);
    }
    if (available.empty()) {
        return std::nullopt;
    }
    return pick(available, query);
}

chosen_endpoint balancer::pick(const std::vector<candidate>& from, const endpoint_query& query) {
    double total = 0;
    for (const candidate& option : from) {
        total += option.state->running;
    }
    const double mean = total / static_cast<double>(from.size());
    const candidate* best = nullptr;
    double best_rank = 0;
    for (const candidate& option : from) {
        // Random jitter breaks ties between endpoints of equal cost, so that daemons spread their calls.
        constexpr double jitter = 0.02;
        double rank = option.cost * (1 + jitter * random_.unit());
        const bool overloaded = option.state->running > affinity_load_margin + affinity_load_factor * mean;
        if (query.affinity && !overloaded) {
            // Rendezvous hashing: all daemons choose the same endpoint for the same affinity text, and the
            // loss of an endpoint only moves the texts assigned to it. An endpoint gets texts in proportion
            // to its weight; with the weight 1 for all, the lowest hash wins. Ranks by hash always precede
            // ranks by cost.
            const base::hash128 hash = base::fast_hash(*query.affinity + "/" + option.state->vm.id.text());
            constexpr double hash_range = 18446744073709551616.0;
            rank = -std::pow(1 - static_cast<double>(hash.low) / hash_range, 1 / option.weight);
        }
        if (best == nullptr || rank < best_rank) {
            best = &option;
            best_rank = rank;
        }
    }
    const object_api::vm& vm = best->state->vm;
    return chosen_endpoint{base::endpoint_id(vm.id.text()),
                           vm.address,
                           vm.failure_domain,
                           vm.started_ms,
                           best->state->running,
                           static_cast<std::uint32_t>(from.size()),
                           vm.software_version};
}

void balancer::begin_call(const base::endpoint_id& endpoint, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end()) {
        return;
    }
    ++it->second.running;
    if (it->second.allowance) {
        it->second.allowance->take(now);
    }
    if (cold_) {
        cold_->take(endpoint, now);
    }
}

void balancer::enable_cold_ceiling(const cold_bounds& bounds) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cold_.emplace(bounds);
}

bool balancer::may_send(const base::endpoint_id& endpoint, base::time_point assigned, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return !cold_ || cold_->may_send(endpoint, assigned, now);
}

void balancer::end_call(const base::endpoint_id& endpoint, attempt_result result,
                        base::duration response_time, double relative_size, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end()) {
        return;
    }
    endpoint_state& state = it->second;
    state.running -= state.running > 0 ? 1 : 0;
    if (result == attempt_result::abandoned) {
        return;
    }
    if (cold_) {
        const double median_ms = median_call_ms(by_service_[state.vm.service]);
        const double ms = base::to_milliseconds(response_time) / std::max(relative_size, 1e-3);
        cold_->record_result(endpoint, result == attempt_result::answered
                                           ? std::optional<double>(median_ms > 0 ? ms / median_ms : 1)
                                           : std::nullopt);
    }
    state.failure_rate += moving_average_weight * ((is_failure(result) ? 1 : 0) - state.failure_rate);
    if (result == attempt_result::answered) {
        const double ms = base::to_milliseconds(response_time) / std::max(relative_size, 1e-3);
        state.call_ms =
            state.call_ms == 0 ? ms : state.call_ms + moving_average_weight * (ms - state.call_ms);
        state.consecutive_failures = 0;
        state.ejected_until = {};
    }
    if (is_connection_failure(result)) {
        ++state.consecutive_failures;
        if (state.consecutive_failures >= ejection_threshold) {
            state.ejected_until = now + ejection_time(state.consecutive_failures);
        }
    }
}

void balancer::update_load(const base::endpoint_id& endpoint, const endpoint_load& load,
                           base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        it->second.load = load;
        it->second.load_time = now;
    }
}

bool balancer::accepts_work(const endpoint_state& state) {
    return state.vm.state == object_api::vm_state::live && !state.is_leaving && !state.is_evacuated;
}

bool balancer::takes_request(const endpoint_state& state, base::time_point now) {
    return accepts_work(state) && state.paused_until <= now &&
           (!state.allowance || state.allowance->is_available(now));
}

bool balancer::is_leaving(const base::endpoint_id& endpoint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() || it->second.is_leaving ||
           it->second.vm.state != object_api::vm_state::live;
}

bool balancer::mark_leaving(const base::endpoint_id& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end() || it->second.is_leaving) {
        return false;
    }
    it->second.is_leaving = true;
    ++generation_;
    return true;
}

void balancer::pause(const base::endpoint_id& endpoint, base::time_point until) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        it->second.paused_until = std::max(it->second.paused_until, until);
    }
}

void balancer::limit_requests(const base::endpoint_id& endpoint, const request_limit& limit,
                              base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end()) {
        return;
    }
    it->second.request_limit = limit.all_daemons;
    std::optional<request_allowance>& allowance = it->second.allowance;
    if (allowance) {
        allowance->set_rate(limit.own_share, now);
    } else {
        allowance.emplace(limit.own_share, now);
    }
}

std::optional<base::duration> balancer::time_per_cold_request(const base::endpoint_id& endpoint,
                                                              base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return cold_ ? cold_->time_per_request(endpoint, now) : std::nullopt;
}

std::optional<base::duration> balancer::time_per_request(const base::endpoint_id& endpoint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end() || !it->second.allowance) {
        return std::nullopt;
    }
    const double seconds = 1 / std::max(it->second.request_limit, min_request_rate);
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

void balancer::unlimit_requests(const base::endpoint_id& endpoint) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        it->second.allowance.reset();
    }
}

std::optional<base::duration> balancer::time_to_resume(const base::service_name& service,
                                                       base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    std::optional<base::duration> out;
    for (const base::endpoint_id& id :
         it == by_service_.end() ? std::vector<base::endpoint_id>() : it->second) {
        const endpoint_state& state = endpoints_.at(id);
        const std::optional<base::duration> next =
            state.allowance ? state.allowance->time_to_next(now) : base::duration::zero();
        const std::optional<base::duration> cold =
            cold_ ? cold_->time_to_next(id, now) : base::duration::zero();
        if (accepts_work(state) && next && cold) {
            const base::duration left = std::max({*next, *cold, state.paused_until - now});
            out = out ? std::min(*out, left) : left;
        }
    }
    return out && *out > base::duration::zero() ? out : std::nullopt;
}

bool balancer::is_available(const base::endpoint_id& endpoint, base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    return it != endpoints_.end() && accepts_work(it->second) && it->second.paused_until <= now;
}

bool balancer::has_chosen_version(const chosen_endpoint& endpoint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint.id);
    return it != endpoints_.end() && it->second.vm.software_version == endpoint.software_version;
}

bool balancer::is_replaced(const chosen_endpoint& endpoint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint.id);
    const bool is_listed = it != endpoints_.end() && it->second.vm.address == endpoint.address;
    const auto other = id_by_address_.find(endpoint.address);
    if (is_listed || other == id_by_address_.end() || endpoint.started_ms == 0) {
        return false;
    }
    const object_api::vm& vm = endpoints_.at(other->second).vm;
    return vm.state == object_api::vm_state::live && vm.started_ms > endpoint.started_ms;
}

base::failure_domain balancer::failure_domain_at(const base::address& address) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = id_by_address_.find(address);
    return it == id_by_address_.end() ? base::failure_domain() : endpoints_.at(it->second).vm.failure_domain;
}

std::vector<pool_endpoint> balancer::available_endpoints(const base::service_name& service) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    std::vector<pool_endpoint> out;
    if (it != by_service_.end()) {
        for (const base::endpoint_id& id : it->second) {
            const endpoint_state& state = endpoints_.at(id);
            if (accepts_work(state)) {
                out.push_back(
                    pool_endpoint{id, state.vm.address, state.vm.failure_domain, state.vm.started_ms});
            }
        }
    }
    return out;
}

std::vector<base::service_name> balancer::services() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<base::service_name> out;
    for (const auto& row : by_service_) {
        out.push_back(row.first);
    }
    return out;
}

std::set<std::string> balancer::software_versions(const base::service_name& service) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    std::set<std::string> out;
    if (it != by_service_.end()) {
        for (const base::endpoint_id& id : it->second) {
            out.insert(endpoints_.at(id).vm.software_version);
        }
    }
    return out;
}

bool balancer::has_version(const base::service_name& service, const std::string& version) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    return it != by_service_.end() && std::ranges::any_of(it->second, [&](const base::endpoint_id& id) {
               const endpoint_state& state = endpoints_.at(id);
               return accepts_work(state) && state.vm.software_version == version;
           });
}

std::uint32_t balancer::calls_in_progress(const base::endpoint_id& endpoint) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() ? 0 : it->second.running;
}

void balancer::record_speed_sample(const engine_slowness& sample, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    speeds_.record_sample(sample, now);
}

std::vector<engine_slowness> balancer::take_speed_announcements(std::size_t max_count, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return speeds_.take_announcements(max_count, now);
}

bool balancer::record_speed_announcement(const engine_slowness& announced, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return speeds_.record_announcement(announced, now);
}

double balancer::speed_weight(engine_key engine, double exponent, base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return speeds_.weight(engine, exponent, now);
}

std::size_t balancer::distinct_engine_count(base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return speeds_.distinct_count(now);
}

std::uint64_t balancer::generation() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return generation_;
}

std::optional<base::duration> balancer::estimate_response_time(const base::service_name& service,
                                                               double relative_size) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = by_service_.find(service);
    const double ms = it == by_service_.end() ? 0 : median_call_ms(it->second);
    if (ms <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(ms * relative_size));
}

} // namespace rattanbay::relay
