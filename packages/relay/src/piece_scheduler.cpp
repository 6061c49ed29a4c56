#include <rattanbay/relay/piece_scheduler.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace rattanbay::relay {

namespace {

/// Pieces that transfer at least this much are made near if that takes no long wait, and results of this
/// size count as large where room is short.
constexpr std::uint64_t large_result = 50 * 1024;
/// Longest wait of a piece for an endpoint that is near.
constexpr std::chrono::milliseconds near_wait{60};
/// How long an endpoint that has no room gets no work.
constexpr std::chrono::milliseconds full_pause{100};
/// Failures in a row from which an endpoint is ejected, and for how long.
constexpr std::uint32_t failures_to_eject = 2;
constexpr std::chrono::seconds ejection{2};
/// Stages that are looked at to fill one call; bounds the work when many wait for room.
constexpr std::size_t most_looked_at = 100;

} // namespace

void piece_scheduler::configure(const config::piece_limits& limits,
                                const std::vector<pool_endpoint>& endpoints) {
    limits_ = limits;
    std::map<base::endpoint_id, endpoint_state> next;
    for (const pool_endpoint& listed : endpoints) {
        const auto it = endpoints_.find(listed.id);
        const bool same = it != endpoints_.end() && it->second.listed.address == listed.address;
        endpoint_state state = same ? it->second : endpoint_state{};
        state.listed = listed;
        next.emplace(listed.id, std::move(state));
    }
    endpoints_ = std::move(next);
}

base::duration piece_scheduler::call_time(std::size_t pieces) const {
    return limits_.call_overhead + limits_.time_per_piece * static_cast<std::int64_t>(pieces);
}

base::duration piece_scheduler::wait_behind(std::size_t pieces) const {
    const std::size_t at_once = std::max<std::size_t>(1, endpoints_.size() * limits_.max_concurrent_calls);
    const base::duration full_call = call_time(limits_.max_batch_size);
    const double calls = static_cast<double>(pieces) / static_cast<double>(limits_.max_batch_size * at_once);
    return std::chrono::duration_cast<base::duration>(full_call * calls);
}

bool piece_scheduler::add(std::vector<waiting_piece> pieces, base::time_point now) {
    assert(!pieces.empty());
    waiting_stage stage{std::move(pieces), false};
    const waiting_piece& first = stage.pieces.front();
    if (now + wait_behind(pieces_ahead(stage, now)) > first.latest) {
        return false;
    }
    const place at(first.due, first.stage);
    waiting_ += stage.pieces.size();
    queue_[at] = std::move(stage);
    return true;
}

bool piece_scheduler::goes_before(const waiting_stage& one, const waiting_stage& other,
                                  base::time_point now) {
    // Stages of which pieces are made already take up room until they are whole. Then come those that
    // can be in time, and then those that are late already.
    const auto rank = [now](const waiting_stage& stage) {
        const waiting_piece& first = stage.pieces.front();
        return std::tuple(!stage.begun, first.due < now, first.urgency, first.due, first.stage);
    };
    return rank(one) < rank(other);
}

std::size_t piece_scheduler::pieces_ahead(const waiting_stage& stage, base::time_point now) const {
    std::size_t out = 0;
    for (const auto& row : queue_) {
        out += goes_before(row.second, stage, now) ? row.second.pieces.size() : 0;
    }
    return out;
}

void piece_scheduler::put_back(waiting_piece piece) {
    waiting_stage& stage = queue_[place(piece.due, piece.stage)];
    stage.begun = true;
    stage.pieces.push_back(std::move(piece));
    ++waiting_;
}

void piece_scheduler::cancel(stage_ticket ticket) {
    for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        if (it->first.second == ticket) {
            waiting_ -= it->second.pieces.size();
            queue_.erase(it);
            return;
        }
    }
}

std::vector<stage_ticket> piece_scheduler::expire(base::time_point now) {
    std::vector<stage_ticket> out;
    for (auto it = queue_.begin(); it != queue_.end();) {
        const auto here = it++;
        if (here->second.pieces.front().latest < now) {
            out.push_back(here->first.second);
            waiting_ -= here->second.pieces.size();
            queue_.erase(here);
        }
    }
    return out;
}

void piece_scheduler::forget_expired(base::time_point now) {
    for (auto it = results_.begin(); it != results_.end();) {
        const auto here = it++;
        if (here->second.expiry <= now) {
            released(std::string(here->first));
        }
    }
}

std::size_t piece_scheduler::free_calls(const endpoint_state& state) const {
    // A full call may wait at the endpoint, so that it has work at once when the call before ends.
    const bool full_call_waits = waiting_ >= limits_.max_batch_size;
    const std::size_t most =
        limits_.max_concurrent_calls + (full_call_waits && limits_.max_queued_calls > 0 ? 1 : 0);
    return most > state.calls ? most - state.calls : 0;
}

bool piece_scheduler::is_placed_well(const endpoint_state& state, const waiting_piece& piece,
                                     base::time_point now) const {
    const bool is_near = piece.near.empty() || piece.near == state.listed.failure_domain;
    if (is_near || piece.transfer_bytes < large_result || now - piece.arrival >= near_wait) {
        return true;
    }
    return std::ranges::none_of(endpoints_, [&piece, now](const auto& row) {
        return row.second.listed.failure_domain == piece.near && row.second.ejected_until <= now;
    });
}

std::size_t piece_scheduler::room_for(const open_call& call, const waiting_piece& piece) const {
    if (limits_.result_capacity_bytes == 0 || piece.result_bytes == 0) {
        return limits_.max_batch_size;
    }
    const std::uint64_t used = call.endpoint->reserved + call.endpoint->held + call.bytes;
    const std::uint64_t left = limits_.result_capacity_bytes - std::min(used, limits_.result_capacity_bytes);
    const std::size_t results = left / piece.result_bytes;
    // An endpoint that holds nothing takes one result of any size.
    return used == 0 ? std::max<std::size_t>(1, results) : results;
}

std::size_t piece_scheduler::takes(open_call& call, const waiting_stage& stage, base::time_point now) const {
    const waiting_piece& first = stage.pieces.front();
    const std::size_t all = stage.pieces.size();
    const bool is_large = first.result_bytes >= large_result;
    if (!is_placed_well(*call.endpoint, first, now) || (is_large && call.keeps_room && !stage.begun)) {
        return 0;
    }
    const std::size_t room = room_for(call, first);
    const std::size_t most = std::min({all, limits_.max_batch_size - call.pieces, room});
    if (stage.begun || most == all) {
        return most;
    }
    // Other large results may pass a stage that lacks room as long as it can wait for the next call.
    call.keeps_room = call.keeps_room || (room < all && first.due < now + call_time(limits_.max_batch_size));
    const bool never_whole =
        all > limits_.max_batch_size ||
        (limits_.result_capacity_bytes > 0 && all * first.result_bytes > limits_.result_capacity_bytes);
    return never_whole && call.pieces == 0 ? most : 0;
}

std::vector<piece_scheduler::stage_queue::iterator> piece_scheduler::order(base::time_point now) {
    std::vector<stage_queue::iterator> out;
    out.reserve(queue_.size());
    for (auto it = queue_.begin(); it != queue_.end(); ++it) {
        out.push_back(it);
    }
    const std::size_t count = std::min(most_looked_at, out.size());
    std::partial_sort(out.begin(), out.begin() + static_cast<std::ptrdiff_t>(count), out.end(),
                      [now](const stage_queue::iterator& one, const stage_queue::iterator& other) {
                          return goes_before(one->second, other->second, now);
                      });
    out.resize(count);
    return out;
}

std::vector<waiting_piece> piece_scheduler::take(endpoint_state& state,
                                                 std::vector<stage_queue::iterator>& stages,
                                                 base::time_point now) {
    open_call call{&state};
    std::vector<std::pair<stage_queue::iterator, std::size_t>> chosen;
    for (const stage_queue::iterator& it : stages) {
        const std::size_t count = call.pieces < limits_.max_batch_size ? takes(call, it->second, now) : 0;
        if (count > 0) {
            chosen.emplace_back(it, count);
            call.pieces += count;
            call.bytes += count * it->second.pieces.front().result_bytes;
        }
    }
    // A call that only waits at the endpoint is worth sending when no further piece could join it.
    if (state.calls >= limits_.max_concurrent_calls && call.pieces < limits_.max_batch_size) {
        return {};
    }
    std::vector<waiting_piece> out;
    for (const std::pair<stage_queue::iterator, std::size_t>& row : chosen) {
        std::vector<waiting_piece>& pieces = row.first->second.pieces;
        const auto end = pieces.begin() + static_cast<std::ptrdiff_t>(row.second);
        std::move(pieces.begin(), end, std::back_inserter(out));
        pieces.erase(pieces.begin(), end);
        row.first->second.begun = true;
        if (pieces.empty()) {
            queue_.erase(row.first);
        }
    }
    waiting_ -= out.size();
    state.reserved += call.bytes;
    return out;
}

std::optional<piece_batch> piece_scheduler::next(base::time_point now) {
    forget_expired(now);
    std::vector<endpoint_state*> free_endpoints;
    for (auto& row : endpoints_) {
        endpoint_state& state = row.second;
        if (free_calls(state) > 0 && state.ejected_until <= now && state.full_until <= now) {
            free_endpoints.push_back(&state);
        }
    }
    if (free_endpoints.empty() || queue_.empty()) {
        return std::nullopt;
    }
    std::stable_sort(free_endpoints.begin(), free_endpoints.end(),
                     [](const endpoint_state* one, const endpoint_state* other) {
                         return std::pair(one->calls, one->reserved + one->held) <
                                std::pair(other->calls, other->reserved + other->held);
                     });
    std::vector<stage_queue::iterator> stages = order(now);
    for (endpoint_state* state : free_endpoints) {
        std::vector<waiting_piece> pieces = take(*state, stages, now);
        if (!pieces.empty()) {
            ++state->calls;
            return piece_batch{state->listed, std::move(pieces)};
        }
    }
    return std::nullopt;
}

void piece_scheduler::ended(const base::endpoint_id& endpoint, attempt_end end,
                            const std::vector<held_result>& results, base::time_point now) {
    const auto it = endpoints_.find(endpoint);
    if (it == endpoints_.end()) {
        return;
    }
    endpoint_state& state = it->second;
    state.calls -= state.calls > 0 ? 1 : 0;
    if (state.calls == 0) {
        state.reserved = 0;
    }
    for (const held_result& result : results) {
        state.reserved -= std::min(state.reserved, result.bytes);
        state.held += result.bytes;
        results_[result.handle] = result_state{endpoint, result.bytes, now + limits_.result_lifetime};
    }
    if (end == attempt_end::answered) {
        state.failures_in_row = 0;
    } else if (end == attempt_end::declined) {
        state.full_until = now + full_pause / 2;
    } else if (++state.failures_in_row >= failures_to_eject) {
        state.ejected_until = now + ejection;
    }
}

void piece_scheduler::no_room(const base::endpoint_id& endpoint, base::time_point now) {
    const auto it = endpoints_.find(endpoint);
    if (it != endpoints_.end()) {
        it->second.full_until = now + full_pause;
    }
}

void piece_scheduler::released(const std::string& handle) {
    const auto it = results_.find(handle);
    if (it == results_.end()) {
        return;
    }
    const auto holder = endpoints_.find(it->second.endpoint);
    if (holder != endpoints_.end()) {
        holder->second.held -= std::min(holder->second.held, it->second.bytes);
    }
    results_.erase(it);
}

} // namespace rattanbay::relay
