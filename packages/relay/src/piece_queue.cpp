#include <rattanbay/relay/piece_queue.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::relay {

void piece_queue::add(waiting_piece piece) {
    const std::pair<base::time_point, piece_ticket> place(piece.due, piece.ticket);
    by_due_.emplace(place, std::move(piece));
}

void piece_queue::cancel(piece_ticket ticket) {
    std::erase_if(by_due_, [ticket](const auto& row) { return row.first.second == ticket; });
}

std::vector<waiting_piece> piece_queue::take(std::size_t most) {
    std::vector<waiting_piece> out;
    while (!by_due_.empty() && out.size() < most) {
        out.push_back(std::move(by_due_.begin()->second));
        by_due_.erase(by_due_.begin());
    }
    return out;
}

std::vector<piece_ticket> piece_queue::expire(base::time_point now) {
    std::vector<piece_ticket> out;
    for (auto it = by_due_.begin(); it != by_due_.end();) {
        const bool late = it->second.deadline <= now;
        if (late) {
            out.push_back(it->first.second);
        }
        it = late ? by_due_.erase(it) : std::next(it);
    }
    return out;
}

std::optional<base::time_point> piece_queue::first_due() const {
    if (by_due_.empty()) {
        return std::nullopt;
    }
    return by_due_.begin()->first.first;
}

std::size_t most_calls(std::size_t endpoints, std::size_t slots, std::size_t daemons) {
    assert(daemons > 0);
    return std::max<std::size_t>(1, (endpoints * slots + daemons - 1) / daemons);
}

} // namespace rattanbay::relay
