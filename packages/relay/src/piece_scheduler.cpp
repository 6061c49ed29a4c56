#include <rattanbay/base/hash.hpp>
#include <rattanbay/relay/piece_scheduler.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace rattanbay::relay {

namespace {

/// Maximum wait of a piece with a large transfer for an endpoint in its preferred failure domain.
constexpr std::chrono::milliseconds max_locality_wait{60};
/// Time for which an endpoint without space gets no work.
constexpr std::chrono::milliseconds full_backoff{100};
/// Time for which an endpoint gets no work after it declined a call. It doubles with each further declined
/// call up to the maximum: the endpoint has work of another scheduler, which takes at least one call's time.
constexpr std::chrono::milliseconds min_decline_backoff{50};
constexpr std::chrono::milliseconds max_decline_backoff{800};
/// Number of consecutive failures from which an endpoint is ejected, and the duration of the ejection.
constexpr std::uint32_t ejection_threshold = 2;
constexpr std::chrono::seconds ejection_time{2};
/// Maximum number of stages examined for one call; limits the work when many stages wait for space.
constexpr std::size_t max_examined_stages = 100;

} // namespace

void piece_scheduler::configure(const config::piece_limits& limits,
                                const std::vector<pool_endpoint>& endpoints) {
    limits_ = limits;
    std::map<base::endpoint_id, endpoint_state> known = std::move(endpoints_);
    known.merge(former_endpoints_);
    endpoints_.clear();
    former_endpoints_.clear();
    for (const pool_endpoint& endpoint : endpoints) {
        const auto it = known.find(endpoint.id);
        const bool same = it != known.end() && it->second.endpoint.address == endpoint.address;
        endpoint_state state = same ? it->second : endpoint_state{};
        state.endpoint = endpoint;
        endpoints_.emplace(endpoint.id, std::move(state));
    }
    for (auto& row : known) {
        const bool is_idle = row.second.active_calls == 0 && row.second.held_bytes == 0;
        if (!is_idle && !endpoints_.contains(row.first)) {
            former_endpoints_.emplace(row.first, std::move(row.second));
        }
    }
}

piece_scheduler::endpoint_state* piece_scheduler::find_endpoint(const base::endpoint_id& endpoint) {
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        return &it->second;
    }
    const auto former = former_endpoints_.find(endpoint);
    return former != former_endpoints_.end() ? &former->second : nullptr;
}

void piece_scheduler::remove_if_idle(const base::endpoint_id& endpoint) {
    const auto it = former_endpoints_.find(endpoint);
    if (it != former_endpoints_.end() && it->second.active_calls == 0 && it->second.held_bytes == 0) {
        former_endpoints_.erase(it);
    }
}

void piece_scheduler::expect_earlier_call(const base::endpoint_id& endpoint, base::time_point now) {
    endpoint_state* const state = find_endpoint(endpoint);
    if (state != nullptr) {
        state->earlier_call_end = now + call_time(limits_.max_batch_size) / 2;
    }
}

base::duration piece_scheduler::decline_backoff(const endpoint_state& state) const {
    constexpr std::uint32_t max_doublings = 4;
    const std::uint32_t doublings = std::min(state.consecutive_declines - 1, max_doublings);
    const base::duration usual =
        std::min<base::duration>(min_decline_backoff * (1U << doublings), max_decline_backoff);
    // Between three quarters and five quarters of the usual time, different for each scheduler and attempt.
    constexpr std::uint64_t steps = 256;
    const std::string key = state.endpoint.id.text() + "/" + std::to_string(retry_seed_) + "/" +
                            std::to_string(state.consecutive_declines);
    const std::uint64_t step = base::fast_hash(key).high % steps;
    return usual * 3 / 4 + usual * static_cast<std::int64_t>(step) / static_cast<std::int64_t>(steps * 2);
}

base::duration piece_scheduler::call_time(std::size_t pieces) const {
    return limits_.call_overhead + limits_.time_per_piece * static_cast<std::int64_t>(pieces);
}

base::duration piece_scheduler::queue_delay(std::size_t pieces) const {
    const std::size_t parallel_calls =
        std::max<std::size_t>(1, endpoints_.size() * limits_.max_concurrent_calls);
    const base::duration full_call_time = call_time(limits_.max_batch_size);
    const double calls =
        static_cast<double>(pieces) / static_cast<double>(limits_.max_batch_size * parallel_calls);
    return std::chrono::duration_cast<base::duration>(full_call_time * calls);
}

bool piece_scheduler::add_stage(std::vector<waiting_piece> pieces, base::time_point now) {
    assert(!pieces.empty());
    waiting_stage stage{std::move(pieces), false};
    const waiting_piece& first = stage.pieces.front();
    if (now + queue_delay(pieces_ahead(stage, now)) > first.latest_start) {
        return false;
    }
    const queue_key key(first.target_start, first.stage);
    waiting_ += stage.pieces.size();
    queue_[key] = std::move(stage);
    return true;
}

bool piece_scheduler::has_precedence(const waiting_stage& lhs, const waiting_stage& rhs,
                                     base::time_point now) {
    // Stages that have started go first, because their results occupy space until the stage is complete.
    // Stages that can still meet their target start follow, then those that have missed it.
    const auto rank = [now](const waiting_stage& stage) {
        const waiting_piece& first = stage.pieces.front();
        return std::tuple(!stage.started, first.target_start < now, first.urgency, first.target_start,
                          first.stage);
    };
    return rank(lhs) < rank(rhs);
}

std::size_t piece_scheduler::pieces_ahead(const waiting_stage& stage, base::time_point now) const {
    std::size_t out = 0;
    for (const auto& entry : queue_) {
        out += has_precedence(entry.second, stage, now) ? entry.second.pieces.size() : 0;
    }
    return out;
}

void piece_scheduler::requeue(waiting_piece piece, attempt_result result) {
    waiting_stage& stage = queue_[queue_key(piece.target_start, piece.stage)];
    const bool has_run = result != attempt_result::declined && result != attempt_result::not_sent;
    stage.started = stage.started || has_run;
    stage.pieces.push_back(std::move(piece));
    ++waiting_;
}

void piece_scheduler::cancel_stage(stage_id id) {
    for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        if (it->first.second == id) {
            waiting_ -= it->second.pieces.size();
            queue_.erase(it);
            return;
        }
    }
}

std::vector<stage_id> piece_scheduler::expire(base::time_point now) {
    std::vector<stage_id> out;
    for (auto it = queue_.begin(); it != queue_.end();) {
        const auto current = it++;
        if (current->second.pieces.front().latest_start < now) {
            out.push_back(current->first.second);
            waiting_ -= current->second.pieces.size();
            queue_.erase(current);
        }
    }
    return out;
}

void piece_scheduler::remove_expired_results(base::time_point now) {
    while (!results_by_expiry_.empty() && results_by_expiry_.begin()->first <= now) {
        const auto it = results_.find(results_by_expiry_.begin()->second);
        free_space(it->second);
        results_by_expiry_.erase(results_by_expiry_.begin());
        results_.erase(it);
    }
}

std::size_t piece_scheduler::calls_at(const endpoint_state& state, base::time_point now) {
    return state.active_calls + (state.earlier_call_end > now ? 1 : 0);
}

std::size_t piece_scheduler::free_slots(const endpoint_state& state, base::time_point now) const {
    // One full call may wait at the endpoint, so that it has work as soon as the previous call ends.
    const bool has_full_call = waiting_ >= limits_.max_batch_size;
    const std::size_t limit =
        limits_.max_concurrent_calls + (has_full_call && limits_.max_queued_calls > 0 ? 1 : 0);
    const std::size_t calls = calls_at(state, now);
    return limit > calls ? limit - calls : 0;
}

bool piece_scheduler::takes_calls(const endpoint_state& state, base::time_point now) {
    return state.silent_calls == 0 && state.ejected_until <= now && state.paused_until <= now;
}

void piece_scheduler::set_silent(const base::endpoint_id& endpoint, bool is_silent) {
    endpoint_state* const state = find_endpoint(endpoint);
    if (state == nullptr) {
        return;
    }
    std::size_t& calls = state->silent_calls;
    calls = is_silent ? calls + 1 : calls - std::min<std::size_t>(calls, 1);
}

bool piece_scheduler::has_other_endpoint(const base::endpoint_id& endpoint, base::time_point now) const {
    return std::ranges::any_of(endpoints_, [&endpoint, now](const auto& entry) {
        return entry.first != endpoint && takes_calls(entry.second, now);
    });
}

bool piece_scheduler::is_placement_acceptable(const endpoint_state& state, const waiting_piece& piece,
                                              base::time_point now) const {
    const bool is_preferred_domain =
        piece.preferred_domain.empty() || piece.preferred_domain == state.endpoint.failure_domain;
    if (is_preferred_domain || piece.transfer_bytes < large_transfer_bytes ||
        now - piece.arrival >= max_locality_wait) {
        return true;
    }
    return std::ranges::none_of(endpoints_, [&piece, now](const auto& entry) {
        return entry.second.endpoint.failure_domain == piece.preferred_domain &&
               entry.second.ejected_until <= now;
    });
}

std::size_t piece_scheduler::results_that_fit(const partial_batch& call, const waiting_piece& piece) const {
    if (limits_.result_capacity_bytes == 0 || piece.result_bytes == 0) {
        return limits_.max_batch_size;
    }
    const std::uint64_t used_bytes = call.endpoint->reserved_bytes + call.endpoint->held_bytes + call.bytes;
    const std::uint64_t free_bytes =
        limits_.result_capacity_bytes - std::min(used_bytes, limits_.result_capacity_bytes);
    const std::size_t results = free_bytes / piece.result_bytes;
    // An empty endpoint accepts one result of any size.
    return used_bytes == 0 ? std::max<std::size_t>(1, results) : results;
}

std::size_t piece_scheduler::pieces_to_add(partial_batch& call, const waiting_stage& stage,
                                           base::time_point now) const {
    const waiting_piece& first = stage.pieces.front();
    const std::size_t count = stage.pieces.size();
    const bool is_large = first.result_bytes >= large_transfer_bytes;
    if (!is_placement_acceptable(*call.endpoint, first, now) ||
        (is_large && call.reserves_space && !stage.started)) {
        return 0;
    }
    const std::size_t fitting = results_that_fit(call, first);
    const std::size_t limit = std::min({count, limits_.max_batch_size - call.pieces, fitting});
    if (stage.started || limit == count) {
        return limit;
    }
    // Other large results may overtake a stage that does not fit, as long as it can wait for the next call.
    call.reserves_space = call.reserves_space ||
                          (fitting < count && first.target_start < now + call_time(limits_.max_batch_size));
    const bool exceeds_limits =
        count > limits_.max_batch_size ||
        (limits_.result_capacity_bytes > 0 && count * first.result_bytes > limits_.result_capacity_bytes);
    return exceeds_limits && call.pieces == 0 ? limit : 0;
}

std::vector<piece_scheduler::stage_queue::iterator>
piece_scheduler::stages_by_priority(base::time_point now) {
    std::vector<stage_queue::iterator> out;
    out.reserve(queue_.size());
    for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        out.push_back(it);
    }
    const std::size_t count = std::min(max_examined_stages, out.size());
    std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(count), out.end(),
                      [now](const stage_queue::iterator& lhs, const stage_queue::iterator& rhs) {
                          return has_precedence(lhs->second, rhs->second, now);
                      });
    out.resize(count);
    return out;
}

std::vector<waiting_piece> piece_scheduler::fill_batch(endpoint_state& state,
                                                       std::vector<stage_queue::iterator>& stages,
                                                       base::time_point now) {
    partial_batch call{&state};
    std::vector<std::pair<stage_queue::iterator, std::size_t>> chosen;
    for (const stage_queue::iterator& it : stages) {
        const std::size_t count =
            call.pieces < limits_.max_batch_size ? pieces_to_add(call, it->second, now) : 0;
        if (count > 0) {
            chosen.emplace_back(it, count);
            call.pieces += count;
            call.bytes += count * it->second.pieces.front().result_bytes;
        }
    }
    // A call that would only wait at the endpoint is sent when it is full; until then, more pieces may join.
    if (calls_at(state, now) >= limits_.max_concurrent_calls && call.pieces < limits_.max_batch_size) {
        return {};
    }
    std::vector<waiting_piece> out;
    for (const std::pair<stage_queue::iterator, std::size_t>& entry : chosen) {
        std::vector<waiting_piece>& pieces = entry.first->second.pieces;
        const auto end = pieces.begin() + static_cast<std::ptrdiff_t>(entry.second);
        std::move(pieces.begin(), end, std::back_inserter(out));
        pieces.erase(pieces.begin(), end);
        entry.first->second.started = true;
        if (pieces.empty()) {
            queue_.erase(entry.first);
        }
    }
    waiting_ -= out.size();
    state.reserved_bytes += call.bytes;
    return out;
}

std::optional<piece_batch> piece_scheduler::next_batch(base::time_point now) {
    remove_expired_results(now);
    std::vector<endpoint_state*> free_endpoints;
    for (auto& entry : endpoints_) {
        endpoint_state& state = entry.second;
        if (free_slots(state, now) > 0 && takes_calls(state, now) && state.full_until <= now) {
            free_endpoints.push_back(&state);
        }
    }
    if (free_endpoints.empty() || queue_.empty()) {
        return std::nullopt;
    }
    std::stable_sort(free_endpoints.begin(), free_endpoints.end(),
                     [](const endpoint_state* lhs, const endpoint_state* rhs) {
                         return std::pair(lhs->active_calls, lhs->reserved_bytes + lhs->held_bytes) <
                                std::pair(rhs->active_calls, rhs->reserved_bytes + rhs->held_bytes);
                     });
    std::vector<stage_queue::iterator> stages = stages_by_priority(now);
    for (endpoint_state* state : free_endpoints) {
        std::vector<waiting_piece> pieces = fill_batch(*state, stages, now);
        if (!pieces.empty()) {
            ++state->active_calls;
            return piece_batch{state->endpoint, std::move(pieces)};
        }
    }
    return std::nullopt;
}

void piece_scheduler::end_call(const base::endpoint_id& endpoint, attempt_result result,
                               const std::vector<held_result>& results, base::time_point now) {
    endpoint_state* const found = find_endpoint(endpoint);
    if (found == nullptr) {
        return;
    }
    endpoint_state& state = *found;
    state.active_calls -= state.active_calls > 0 ? 1 : 0;
    if (state.active_calls == 0) {
        state.reserved_bytes = 0;
    }
    for (const held_result& held : results) {
        state.reserved_bytes -= std::min(state.reserved_bytes, held.bytes);
        state.held_bytes += held.bytes;
        hold_result(endpoint, held, now + limits_.result_lifetime);
    }
    if (result == attempt_result::answered) {
        state.consecutive_failures = 0;
        state.consecutive_declines = 0;
    } else if (result == attempt_result::declined) {
        ++state.consecutive_declines;
        state.full_until = now + decline_backoff(state);
    } else if (++state.consecutive_failures >= ejection_threshold) {
        state.ejected_until = now + ejection_time;
    }
    remove_if_idle(endpoint);
}

void piece_scheduler::mark_full(const base::endpoint_id& endpoint, base::time_point now) {
    endpoint_state* const state = find_endpoint(endpoint);
    if (state != nullptr) {
        state->full_until = now + full_backoff;
    }
}

void piece_scheduler::pause(const base::endpoint_id& endpoint, base::time_point until) {
    endpoint_state* const state = find_endpoint(endpoint);
    if (state != nullptr) {
        state->paused_until = std::max(state->paused_until, until);
    }
}

void piece_scheduler::hold_result(const base::endpoint_id& endpoint, const held_result& held,
                                  base::time_point expiry) {
    const auto [it, inserted] = results_.try_emplace(held.handle);
    if (!inserted) {
        results_by_expiry_.erase(it->second.expiry);
    }
    // Lifetimes are mostly equal, so the new result usually expires last.
    it->second = result_state{
        endpoint, held.bytes,
        results_by_expiry_.emplace_hint(results_by_expiry_.end(), expiry, std::string_view(it->first))};
}

void piece_scheduler::free_space(result_state& result) {
    if (result.released) {
        return;
    }
    result.released = true;
    endpoint_state* const state = find_endpoint(result.endpoint);
    if (state != nullptr) {
        state->held_bytes -= std::min(state->held_bytes, result.bytes);
    }
    remove_if_idle(result.endpoint);
}

void piece_scheduler::release_result(std::string_view handle) {
    const auto it = results_.find(handle);
    if (it != results_.end()) {
        free_space(it->second);
    }
}

answer_origin piece_scheduler::origin_of(const std::vector<piece_result>& results) const {
    answer_origin out = answer_origin::unknown;
    for (const piece_result& result : results) {
        if (result.handle && results_.contains(*result.handle)) {
            return answer_origin::earlier_call;
        }
        out = result.handle ? answer_origin::this_call : out;
    }
    return out;
}

} // namespace rattanbay::relay
