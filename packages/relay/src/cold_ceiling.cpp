#include <rattanbay/relay/cold_ceiling.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace rattanbay::relay {

namespace {

/// Fraction of the ceiling that the daemons of one plan use.
constexpr double planned_fraction = 0.5;
/// Requests of one sender in a second; a sender with less would mostly wait for its share.
constexpr double requests_per_sender = 3;
constexpr double max_senders = 1000;
/// Bounds what a document may say.
constexpr double max_rate = 1'000'000;
constexpr std::chrono::minutes max_cold_time{10};
/// Time after a failure within which the endpoint may start again without the daemon hearing of it: an
/// endpoint that does not answer is tried again after 5 s at the latest, and the list lags by a second.
constexpr std::chrono::seconds restart_detection_time{6};
/// Failures within this time are considered to have one cause.
constexpr std::chrono::seconds joint_failure_time{2};
/// Number of endpoints of a failure domain, and their fraction, that have to fail at once for the whole
/// domain to be presumed down.
constexpr std::size_t min_joint_failures = 2;
constexpr double joint_failure_fraction = 0.25;
/// Interval at which a finding that goes on is announced again.
constexpr std::chrono::seconds announcement_interval{2};

/// Time of a second in which requests of a plan may arrive, as a fraction of one: a share may have been taken
/// up to the send delay before the second.
double counted_seconds() {
    return std::chrono::duration<double>(std::chrono::seconds(1) + max_cold_send_delay).count();
}

base::duration clamp_time(base::duration time) {
    return std::clamp<base::duration>(time, base::duration::zero(), max_cold_time);
}

} // namespace

cold_plan plan_cold_requests(const cold_rule& rule, const cold_bounds& bounds) {
    const double rate =
        std::isfinite(rule.requests_per_second) ? std::clamp(rule.requests_per_second, 0.0, max_rate) : 0;
    const double ceiling = rate * std::clamp(bounds.excess, 0.0, max_rate) + std::max(0.0, bounds.slack);
    const double planned = std::floor(ceiling) * planned_fraction;
    // The bucket of a sender holds one request, which may come on top of its rate.
    if (!(planned > 1)) {
        return {};
    }
    const double senders = std::clamp(std::floor(planned / requests_per_sender), 1.0, max_senders);
    return {static_cast<std::size_t>(senders), (planned - senders) / counted_seconds() / senders};
}

cold_ceiling::cold_ceiling(const cold_bounds& bounds)
    : bounds_(bounds) {}

void cold_ceiling::set_rules(const std::map<base::service_name, cold_rule>& rules) {
    rules_.clear();
    for (const std::pair<const base::service_name, cold_rule>& row : rules) {
        if (row.second.requests_per_second > 0) {
            rules_[row.first] = {clamp_time(row.second.cold_time), row.second.requests_per_second};
        }
    }
}

const cold_rule* cold_ceiling::rule_of(const endpoint_state& state) const {
    const auto it = rules_.find(state.service);
    return it == rules_.end() ? nullptr : &it->second;
}

cold_ceiling::endpoint_state* cold_ceiling::find(const base::endpoint_id& endpoint) {
    const auto it = endpoints_.find(endpoint);
    return it == endpoints_.end() ? nullptr : &it->second;
}

const cold_ceiling::endpoint_state* cold_ceiling::find_cold(const base::endpoint_id& endpoint,
                                                            base::time_point now) const {
    const auto it = endpoints_.find(endpoint);
    const bool is_cold = it != endpoints_.end() && now < it->second.cold_until && rule_of(it->second);
    return is_cold ? &it->second : nullptr;
}

void cold_ceiling::extend(endpoint_state& state, base::time_point until, base::time_point now) {
    if (now >= state.cold_until) {
        state.cold_since = now;
        // The role of an earlier time may not hold any more.
        state.is_sender = false;
        state.pace.restart();
    }
    state.cold_until = std::max(state.cold_until, until);
}

void cold_ceiling::presume(endpoint_state& state, base::time_point now) {
    const cold_rule* const rule = rule_of(state);
    const base::duration cold_time = rule == nullptr ? base::duration::zero() : rule->cold_time;
    extend(state, now + cold_time + restart_detection_time, now);
}

void cold_ceiling::update(const object_api::vm_list& vms, base::time_point now) {
    std::set<base::endpoint_id> listed_ids;
    for (const object_api::vm& listed : vms.vms) {
        const base::endpoint_id id(listed.id.text());
        listed_ids.insert(id);
        const auto [it, is_new] = endpoints_.try_emplace(id);
        update_one(listed, it->second, is_new, now);
    }
    std::erase_if(endpoints_, [&listed_ids](const std::pair<const base::endpoint_id, endpoint_state>& row) {
        return !listed_ids.contains(row.first);
    });
    has_list_ = has_list_ || !vms.vms.empty();
}

void cold_ceiling::update_one(const object_api::vm& listed, endpoint_state& state, bool is_new,
                              base::time_point now) {
    const bool has_started = !is_new && (state.started_ms != listed.started_ms ||
                                         state.address != listed.address || state.service != listed.service);
    const bool has_new_report = is_new || has_started || state.listed_left_ms != listed.cold_left_ms;
    state.service = listed.service;
    state.failure_domain = listed.failure_domain;
    state.address = listed.address;
    state.started_ms = listed.started_ms;
    state.listed_left_ms = listed.cold_left_ms;
    const cold_rule* const rule = rule_of(state);
    if (rule != nullptr && ((is_new && has_list_) || has_started)) {
        // An endpoint that returns may have been away for less time than the list lags behind.
        extend(state, now + rule->cold_time, now);
    }
    if (has_new_report && listed.cold_left_ms > 0) {
        constexpr std::uint64_t max_ms = std::chrono::milliseconds(max_cold_time).count();
        const std::chrono::milliseconds left(std::min(listed.cold_left_ms, max_ms));
        extend(state, now + left, now);
    }
}

void cold_ceiling::record_report(const base::endpoint_id& endpoint, base::duration time_left,
                                 base::time_point now) {
    endpoint_state* const state = find(endpoint);
    if (state == nullptr || rule_of(*state) == nullptr || time_left <= base::duration::zero()) {
        return;
    }
    const bool is_known = now < state->cold_until;
    extend(*state, now + clamp_time(time_left), now);
    state->has_news = state->has_news || !is_known;
}

void cold_ceiling::record_failure(const base::endpoint_id& endpoint, base::time_point now) {
    endpoint_state* const state = find(endpoint);
    if (state == nullptr || rule_of(*state) == nullptr) {
        return;
    }
    state->failed_at = now;
    state->has_news = true;
    presume(*state, now);
    presume_domain(*state, now);
}

void cold_ceiling::presume_domain(const endpoint_state& failed, base::time_point now) {
    std::vector<endpoint_state*> same;
    std::size_t failures = 0;
    for (std::pair<const base::endpoint_id, endpoint_state>& row : endpoints_) {
        endpoint_state& state = row.second;
        if (state.service == failed.service && state.failure_domain == failed.failure_domain) {
            same.push_back(&state);
            const bool has_failed =
                state.failed_at != base::time_point() && now - state.failed_at < joint_failure_time;
            failures += has_failed ? 1 : 0;
        }
    }
    const double fraction = static_cast<double>(failures) / static_cast<double>(same.size());
    if (failures >= min_joint_failures && fraction >= joint_failure_fraction) {
        for (endpoint_state* const state : same) {
            presume(*state, now);
        }
    }
}

void cold_ceiling::record_return(const base::failure_domain& domain, base::time_point now) {
    for (std::pair<const base::endpoint_id, endpoint_state>& row : endpoints_) {
        const cold_rule* const rule = rule_of(row.second);
        if (rule != nullptr && row.second.failure_domain == domain) {
            extend(row.second, now + rule->cold_time, now);
        }
    }
}

void cold_ceiling::record_announcement(const cold_endpoint& found, base::time_point now) {
    endpoint_state* const state = find(found.id);
    if (state == nullptr || rule_of(*state) == nullptr || found.time_left <= base::duration::zero()) {
        return;
    }
    extend(*state, now + clamp_time(found.time_left), now);
    state->announced_at = now;
    state->has_news = false;
    state->failed_at = now;
    presume_domain(*state, now);
}

std::vector<cold_endpoint> cold_ceiling::take_announcements(base::time_point now) {
    std::vector<cold_endpoint> out;
    for (std::pair<const base::endpoint_id, endpoint_state>& row : endpoints_) {
        endpoint_state& state = row.second;
        const bool is_due =
            state.announced_at == base::time_point() || now - state.announced_at >= announcement_interval;
        if (state.has_news && is_due && now < state.cold_until) {
            out.push_back({row.first, state.cold_until - now});
            state.announced_at = now;
        }
        state.has_news = state.has_news && !is_due;
    }
    return out;
}

std::map<base::endpoint_id, std::size_t> cold_ceiling::list(base::time_point now) const {
    std::map<base::endpoint_id, std::size_t> out;
    for (const std::pair<const base::endpoint_id, endpoint_state>& row : endpoints_) {
        const cold_rule* const rule = rule_of(row.second);
        if (rule != nullptr && now < row.second.cold_until) {
            out[row.first] = plan_cold_requests(*rule, bounds_).senders;
        }
    }
    return out;
}

void cold_ceiling::set_sender(const base::endpoint_id& endpoint, bool is_sender, base::time_point now) {
    endpoint_state* const state = find(endpoint);
    const cold_rule* const rule = state == nullptr ? nullptr : rule_of(*state);
    if (rule == nullptr) {
        return;
    }
    state->is_sender = is_sender;
    const double rate = is_sender ? plan_cold_requests(*rule, bounds_).requests_per_second : 0;
    // The bucket is kept for later, so that a daemon that becomes a sender again has no further request.
    if (state->allowance) {
        state->allowance->set_rate(rate, now);
    } else if (is_sender) {
        state->allowance.emplace(rate, now);
    }
}

void cold_ceiling::record_result(const base::endpoint_id& endpoint, std::optional<double> relative_time) {
    endpoint_state* const state = find(endpoint);
    if (state == nullptr) {
        return;
    }
    if (relative_time) {
        state->pace.record_answer(*relative_time);
    } else {
        state->pace.record_failure();
    }
}

double cold_ceiling::sender_weight(const base::endpoint_id& endpoint, base::time_point now) const {
    const endpoint_state* const state = find_cold(endpoint, now);
    if (state == nullptr || !state->is_sender) {
        return 1;
    }
    const std::size_t senders =
        std::max<std::size_t>(1, plan_cold_requests(*rule_of(*state), bounds_).senders);
    const double members_per_sender = static_cast<double>(member_count_) / static_cast<double>(senders);
    return std::max(1.0, members_per_sender) * state->pace.share();
}

bool cold_ceiling::is_cold(const base::endpoint_id& endpoint, base::time_point now) const {
    return find_cold(endpoint, now) != nullptr;
}

bool cold_ceiling::allows(const base::endpoint_id& endpoint, base::time_point now) const {
    const endpoint_state* const state = find_cold(endpoint, now);
    return state == nullptr || (state->is_sender && state->allowance && state->allowance->is_available(now));
}

void cold_ceiling::take(const base::endpoint_id& endpoint, base::time_point now) {
    endpoint_state* const state = find_cold(endpoint, now) == nullptr ? nullptr : find(endpoint);
    if (state != nullptr && state->allowance) {
        state->allowance->take(now);
    }
}

bool cold_ceiling::may_send(const base::endpoint_id& endpoint, base::time_point taken, base::time_point now) {
    const endpoint_state* const state = find_cold(endpoint, now);
    if (state == nullptr) {
        return true;
    }
    if (state->cold_since > taken) {
        const bool allowed = allows(endpoint, now);
        if (allowed) {
            take(endpoint, now);
        }
        return allowed;
    }
    return now - taken <= max_cold_send_delay;
}

std::optional<base::duration> cold_ceiling::time_to_next(const base::endpoint_id& endpoint,
                                                         base::time_point now) const {
    const endpoint_state* const state = find_cold(endpoint, now);
    if (state == nullptr) {
        return base::duration::zero();
    }
    return state->is_sender && state->allowance ? state->allowance->time_to_next(now) : std::nullopt;
}

std::optional<base::duration> cold_ceiling::time_per_request(const base::endpoint_id& endpoint,
                                                             base::time_point now) const {
    const endpoint_state* const state = find_cold(endpoint, now);
    if (state == nullptr) {
        return std::nullopt;
    }
    const cold_plan plan = plan_cold_requests(*rule_of(*state), bounds_);
    const double rate = std::max(plan.requests_per_second * static_cast<double>(plan.senders), 0.1);
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(1 / rate));
}

} // namespace rattanbay::relay
