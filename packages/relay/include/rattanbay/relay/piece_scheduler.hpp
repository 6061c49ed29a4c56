#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/relay/attempt_rules.hpp>
#include <rattanbay/relay/call.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanbay::relay {

/// Number of a piece, unique within its scheduler.
using piece_ticket = std::uint64_t;

/// Number of a stage of a request, unique within its scheduler.
using stage_ticket = std::uint64_t;

/// An endpoint of a worker pool that takes work.
struct pool_endpoint {
    base::endpoint_id id;
    base::address address;
    base::failure_domain failure_domain;
};

/// A piece that waits for a call.
struct waiting_piece {
    piece_ticket ticket = 0;
    /// The stage that needs the piece.
    stage_ticket stage = 0;
    piece_order order;
    /// Where its inputs are or its result will be used, whichever is larger; empty when that is not
    /// known.
    base::failure_domain near;
    std::uint64_t result_bytes = 0;
    /// Bytes that cross failure domains when it is made elsewhere.
    std::uint64_t transfer_bytes = 0;
    /// 0 goes first.
    int urgency = 0;
    base::time_point arrival;
    /// A piece that begins later than this makes its request miss its objective.
    base::time_point due;
    /// A piece that begins later than this is of no use.
    base::time_point latest;
};

/// A call to be sent.
struct piece_batch {
    pool_endpoint endpoint;
    std::vector<waiting_piece> pieces;
};

/// A result that an endpoint holds.
struct held_result {
    std::string handle;
    std::uint64_t bytes = 0;
};

/// Decides which pieces of one service go into which call. A call takes the same time whether it
/// carries one piece or several, so that pieces of all requests share calls; more urgent stages go
/// first, among them those that are due first, and those that have missed their objective last. The
/// pieces of a stage go together, as the results of a part of them take room and are of no use until the
/// others are made. Pieces that transfer much are made near their inputs or the use of their results,
/// and an endpoint is given no more results than it has room for. One thread at a time.
class piece_scheduler {
public:
    /// Replaces the limits and the endpoints; what is known of endpoints that stay is kept.
    void configure(const config::piece_limits& limits, const std::vector<pool_endpoint>& endpoints);

    /// Queues all pieces of a stage, which differ in their tickets and orders only; false when they
    /// cannot begin in time behind those that go first.
    bool add(std::vector<waiting_piece> pieces, base::time_point now);

    /// Queues a piece once more after its call failed.
    void put_back(waiting_piece piece);

    /// Removes the pieces of a stage that is no longer needed.
    void cancel(stage_ticket stage);

    /// Removes the pieces that can no longer begin in time and returns their stages.
    std::vector<stage_ticket> expire(base::time_point now);

    /// The next call to send, or nothing until something changes.
    std::optional<piece_batch> next(base::time_point now);

    /// A call ended; `results` are those that the endpoint holds now.
    void ended(const base::endpoint_id& endpoint, attempt_end end, const std::vector<held_result>& results,
               base::time_point now);

    /// The endpoint said that it has no room for a result.
    void no_room(const base::endpoint_id& endpoint, base::time_point now);

    /// A result is no longer needed.
    void released(const std::string& handle);

    /// Number of pieces that wait.
    std::size_t waiting() const { return waiting_; }

    /// Whether calls may be sent later without another event: a wait for room, for an endpoint near
    /// the use of a result, or for the end of an ejection.
    bool needs_wakeup() const { return !queue_.empty(); }

private:
    struct endpoint_state {
        pool_endpoint listed;
        std::size_t calls = 0;
        /// Bytes of the results of calls in progress.
        std::uint64_t reserved = 0;
        std::uint64_t held = 0;
        std::uint32_t failures_in_row = 0;
        base::time_point ejected_until;
        base::time_point full_until;
    };

    struct result_state {
        base::endpoint_id endpoint;
        std::uint64_t bytes = 0;
        base::time_point expiry;
    };

    /// The pieces of one stage that wait.
    struct waiting_stage {
        std::vector<waiting_piece> pieces;
        /// Whether other pieces of the stage have been sent.
        bool begun = false;
    };

    /// A call that is being filled.
    struct open_call {
        endpoint_state* endpoint = nullptr;
        std::size_t pieces = 0;
        std::uint64_t bytes = 0;
        /// Whether room is kept for a stage that goes before those that follow.
        bool keeps_room = false;
    };

    using place = std::pair<base::time_point, stage_ticket>;
    using stage_queue = std::map<place, waiting_stage>;

    std::size_t pieces_ahead(const waiting_stage& stage, base::time_point now) const;
    void forget_expired(base::time_point now);
    std::size_t free_calls(const endpoint_state& state) const;
    /// Whether one stage goes before another.
    static bool goes_before(const waiting_stage& one, const waiting_stage& other, base::time_point now);
    bool is_placed_well(const endpoint_state& state, const waiting_piece& piece, base::time_point now) const;
    std::size_t room_for(const open_call& call, const waiting_piece& piece) const;
    std::size_t takes(open_call& call, const waiting_stage& stage, base::time_point now) const;
    std::vector<stage_queue::iterator> order(base::time_point now);
    std::vector<waiting_piece> take(endpoint_state& state, std::vector<stage_queue::iterator>& stages,
                                    base::time_point now);
    base::duration call_time(std::size_t pieces) const;
    base::duration wait_behind(std::size_t pieces) const;

    config::piece_limits limits_;
    std::map<base::endpoint_id, endpoint_state> endpoints_;
    stage_queue queue_;
    std::size_t waiting_ = 0;
    std::map<std::string, result_state> results_;
};

} // namespace rattanbay::relay
