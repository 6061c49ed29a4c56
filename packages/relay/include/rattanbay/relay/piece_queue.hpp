#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/relay/call.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace rattanbay::relay {

/// Number of a piece, unique within its queue.
using piece_ticket = std::uint64_t;

/// A piece that waits for a call.
struct waiting_piece {
    piece_ticket ticket = 0;
    piece_order order;
    /// Pieces that are due first go first.
    base::time_point due;
    /// A piece that cannot begin before this time is of no use.
    base::time_point deadline;
};

/// Pieces of one service that wait for a call to a worker pool. A call takes the same time whether it
/// carries one piece or several, so that pieces of all requests share calls.
class piece_queue {
public:
    void add(waiting_piece piece);

    /// Removes a piece that is no longer needed.
    void cancel(piece_ticket ticket);

    /// Takes the pieces of the next call: up to `most`, those due first.
    std::vector<waiting_piece> take(std::size_t most);

    /// Removes and returns the pieces whose deadline has passed.
    std::vector<piece_ticket> expire(base::time_point now);

    std::size_t size() const { return by_due_.size(); }

    /// When the piece that is due first is due.
    std::optional<base::time_point> first_due() const;

private:
    std::map<std::pair<base::time_point, piece_ticket>, waiting_piece> by_due_;
};

/// Calls that one daemon may have in progress at a worker pool of `endpoints` with `slots` each,
/// which `daemons` share. More would wait at the endpoints, where pieces that come later cannot join
/// them.
std::size_t most_calls(std::size_t endpoints, std::size_t slots, std::size_t daemons);

} // namespace rattanbay::relay
