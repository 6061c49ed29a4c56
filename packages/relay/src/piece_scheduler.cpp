#include <rattanbay/relay/piece_scheduler.hpp>

#include <algorithm>

namespace rattanbay::relay {

namespace {

/// Results of at least this size are made where they are used if that takes no long wait.
constexpr std::uint64_t large_result = 50 * 1024;
/// Longest wait of a large result for an endpoint near its use.
constexpr std::chrono::milliseconds near_wait{60};
/// How long an endpoint that has no room gets no work.
constexpr std::chrono::milliseconds full_pause{100};
/// Failures in a row from which an endpoint is ejected, and for how long.
constexpr std::uint32_t failures_to_eject = 2;
constexpr std::chrono::seconds ejection{2};
/// Share of an endpoint's room that is planned with, as sizes of results are estimates.
constexpr double usable_room = 1.0;

std::uint64_t share_of(std::uint64_t bytes, double share) {
    return static_cast<std::uint64_t>(static_cast<double>(bytes) * share);
}

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
    return limits_.call_time + limits_.piece_time * static_cast<std::int64_t>(pieces);
}

base::duration piece_scheduler::wait_behind(std::size_t pieces) const {
    const std::size_t at_once = std::max<std::size_t>(1, endpoints_.size() * limits_.slots);
    const base::duration full_call = call_time(limits_.batch);
    const double calls = static_cast<double>(pieces) / static_cast<double>(limits_.batch * at_once);
    return std::chrono::duration_cast<base::duration>(full_call * calls);
}

bool piece_scheduler::add(waiting_piece piece, base::time_point now) {
    if (now + wait_behind(pieces_ahead(piece, now)) > piece.latest) {
        return false;
    }
    put_back(std::move(piece));
    return true;
}

std::size_t piece_scheduler::pieces_ahead(const waiting_piece& piece, base::time_point now) const {
    const auto first_in_time = queue_.lower_bound(place(now, 0));
    const auto own_place = queue_.lower_bound(place(piece.due, piece.ticket));
    const auto count = [](auto from, auto to) { return static_cast<std::size_t>(std::distance(from, to)); };
    if (piece.due >= now) {
        return count(first_in_time, own_place);
    }
    return count(first_in_time, queue_.end()) + count(queue_.begin(), own_place);
}

void piece_scheduler::put_back(waiting_piece piece) {
    const place at(piece.due, piece.ticket);
    queue_.emplace(at, std::move(piece));
}

void piece_scheduler::cancel(piece_ticket ticket) {
    std::erase_if(queue_, [ticket](const auto& row) { return row.first.second == ticket; });
}

std::vector<piece_ticket> piece_scheduler::expire(base::time_point now) {
    std::vector<piece_ticket> out;
    for (auto it = queue_.begin(); it != queue_.end();) {
        const bool late = it->second.latest < now;
        if (late) {
            out.push_back(it->first.second);
        }
        it = late ? queue_.erase(it) : std::next(it);
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
    const bool full_call_waits = queue_.size() >= limits_.batch;
    const std::size_t most = limits_.slots + (full_call_waits && limits_.queue > 0 ? 1 : 0);
    return most > state.calls ? most - state.calls : 0;
}

bool piece_scheduler::may_take(const endpoint_state& state, const waiting_piece& piece,
                               std::uint64_t chosen_bytes, base::time_point now) const {
    const std::uint64_t used = state.reserved + state.held + chosen_bytes;
    const std::uint64_t room = share_of(limits_.result_room_bytes, usable_room);
    // An endpoint that holds nothing takes one result of any size.
    if (room > 0 && used > 0 && used + piece.result_bytes > room) {
        return false;
    }
    const bool is_near = piece.near.empty() || piece.near == state.listed.failure_domain;
    if (is_near || piece.result_bytes < large_result || now - piece.arrival >= near_wait) {
        return true;
    }
    return std::ranges::none_of(endpoints_, [&piece, now](const auto& row) {
        return row.second.listed.failure_domain == piece.near && row.second.ejected_until <= now;
    });
}

std::vector<waiting_piece> piece_scheduler::take(endpoint_state& state, base::time_point now) {
    // Pieces in time first, in the order of their due times; then those that are late already.
    const auto first_in_time = queue_.lower_bound(place(now, 0));
    std::vector<std::map<place, waiting_piece>::iterator> chosen;
    std::uint64_t bytes = 0;
    const auto choose_from = [&](auto it, auto end) {
        for (; it != end && chosen.size() < limits_.batch; ++it) {
            if (may_take(state, it->second, bytes, now)) {
                bytes += it->second.result_bytes;
                chosen.push_back(it);
            }
        }
    };
    choose_from(first_in_time, queue_.end());
    choose_from(queue_.begin(), first_in_time);
    // A call that only waits at the endpoint is worth sending when no further piece could join it.
    if (state.calls >= limits_.slots && chosen.size() < limits_.batch) {
        return {};
    }
    std::vector<waiting_piece> out;
    for (const auto& it : chosen) {
        out.push_back(std::move(it->second));
        queue_.erase(it);
    }
    state.reserved += bytes;
    return out;
}

std::optional<piece_batch> piece_scheduler::next(base::time_point now) {
    forget_expired(now);
    std::vector<endpoint_state*> order;
    for (auto& row : endpoints_) {
        endpoint_state& state = row.second;
        if (free_calls(state) > 0 && state.ejected_until <= now && state.full_until <= now) {
            order.push_back(&state);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const endpoint_state* one, const endpoint_state* other) {
        return std::pair(one->calls, one->reserved + one->held) <
               std::pair(other->calls, other->reserved + other->held);
    });
    for (endpoint_state* state : order) {
        std::vector<waiting_piece> pieces = take(*state, now);
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
