#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/relay/attempt_rules.hpp>
#include <rattanbay/relay/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattanbay::relay {

/// Pieces that transfer at least this many bytes are scheduled near their preferred failure domain, and wait
/// for an endpoint there. Results of at least this size respect the space reserved for other stages.
constexpr std::uint64_t large_transfer_bytes = std::uint64_t{50} * 1024;

/// Identifies a piece within its scheduler.
using piece_id = std::uint64_t;

/// Identifies a stage of a request within its scheduler.
using stage_id = std::uint64_t;

/// Endpoint of a worker pool that accepts work.
struct pool_endpoint {
    base::endpoint_id id;
    base::address address;
    base::failure_domain failure_domain;
    /// Start of its process in Unix milliseconds; 0 if it is not known.
    std::uint64_t started_ms = 0;
};

/// Piece that waits to be sent in a call.
struct waiting_piece {
    piece_id id = 0;
    /// Stage that the piece belongs to.
    stage_id stage = 0;
    piece_order order;
    /// Failure domain of the inputs or of the consumer of the result, whichever transfer is larger; empty if
    /// it is unknown.
    base::failure_domain preferred_domain;
    std::uint64_t result_bytes = 0;
    /// Bytes that cross failure domains if the piece is computed outside the preferred domain.
    std::uint64_t transfer_bytes = 0;
    /// Scheduling priority; 0 is served first.
    int urgency = 0;
    base::time_point arrival;
    /// Latest start with which the request meets its latency objective.
    base::time_point target_start;
    /// Latest start with which the result is still useful.
    base::time_point latest_start;
};

/// Call to be sent to an endpoint.
struct piece_batch {
    pool_endpoint endpoint;
    std::vector<waiting_piece> pieces;
};

/// Result held by an endpoint.
struct held_result {
    std::string handle;
    std::uint64_t bytes = 0;
};

/// What the results of a call's answer tell about its origin. Answers to calls name no call, and a faulty
/// endpoint may send one twice, so that the second copy arrives as the answer to the next call.
enum class answer_origin {
    /// It has results that no answer had before.
    this_call,
    /// It has a result of an earlier answer.
    earlier_call,
    /// It has no results, so that it may be the copy of another one.
    unknown,
};

/// Batches the pieces of one service into calls to its endpoints. A call takes about the same time for one
/// piece as for several, so pieces of different requests share calls. Stages are ordered by urgency, then by
/// target start; stages that have missed their target start go last. The pieces of a stage are sent together,
/// because their results occupy space and are useless until all of them exist. Pieces with large transfers
/// are computed in their preferred failure domain, and an endpoint gets no more results than it has space
/// for. Not thread-safe.
class piece_scheduler {
public:
    piece_scheduler() = default;
    piece_scheduler(const piece_scheduler&) = delete;
    piece_scheduler& operator=(const piece_scheduler&) = delete;
    piece_scheduler(piece_scheduler&&) = default;
    piece_scheduler& operator=(piece_scheduler&&) = default;
    ~piece_scheduler() = default;

    /// Replaces the limits and the endpoints. Endpoints that keep their address keep their state. An endpoint
    /// that is left out gets no further calls; its state is kept while it has calls in progress or results,
    /// so that it gets no more work than it bears if it comes back.
    void configure(const config::piece_limits& limits, const std::vector<pool_endpoint>& endpoints);

    /// Spreads the times at which different schedulers call an endpoint again that declined their calls.
    void set_retry_seed(std::uint64_t seed) { retry_seed_ = seed; }

    /// Counts one call at the endpoint as in progress for half the time of a full call: another scheduler
    /// called the endpoint until now, and such a call is half done on average.
    void expect_earlier_call(const base::endpoint_id& endpoint, base::time_point now);

    /// Queues all pieces of a stage, which may differ only in their identifiers and orders. Returns false if
    /// they cannot start in time behind the stages that precede them.
    bool add_stage(std::vector<waiting_piece> pieces, base::time_point now);

    /// Queues a piece again after its call ended with this result. A stage whose calls did no work keeps its
    /// priority.
    void requeue(waiting_piece piece, attempt_result result);

    /// Removes the waiting pieces of a stage that is no longer needed.
    void cancel_stage(stage_id stage);

    /// Removes the stages whose pieces can no longer start in time and returns them.
    std::vector<stage_id> expire(base::time_point now);

    /// Next call to send; empty if none can be sent now.
    std::optional<piece_batch> next_batch(base::time_point now);

    /// Records the end of a call; `results` are the results that the endpoint holds because of it.
    void end_call(const base::endpoint_id& endpoint, attempt_result result,
                  const std::vector<held_result>& results, base::time_point now);

    /// Records that a call in progress is silent or, at its end, no longer is. An endpoint with a silent call
    /// gets no further one.
    void set_silent(const base::endpoint_id& endpoint, bool is_silent);

    /// Whether an endpoint other than this one takes calls.
    bool has_other_endpoint(const base::endpoint_id& endpoint, base::time_point now) const;

    /// Records that the endpoint reported a lack of space for a result.
    void mark_full(const base::endpoint_id& endpoint, base::time_point now);

    /// Records that the endpoint wants no calls until a time.
    void pause(const base::endpoint_id& endpoint, base::time_point until);

    /// Records that a result is no longer needed and its space is free.
    void release_result(std::string_view handle);

    /// Origin of an answer with these results.
    answer_origin origin_of(const std::vector<piece_result>& results) const;

    /// Number of waiting pieces.
    std::size_t waiting() const { return waiting_; }

    /// Whether calls may become possible without another event: when space becomes free, when the wait for an
    /// endpoint in the preferred domain ends, or when an ejection ends.
    bool needs_wakeup() const { return !queue_.empty(); }

private:
    struct endpoint_state {
        pool_endpoint endpoint;
        std::size_t active_calls = 0;
        /// Calls in progress that are silent.
        std::size_t silent_calls = 0;
        /// Expected bytes of the results of calls in progress.
        std::uint64_t reserved_bytes = 0;
        /// Bytes of the results that the endpoint holds.
        std::uint64_t held_bytes = 0;
        std::uint32_t consecutive_failures = 0;
        std::uint32_t consecutive_declines = 0;
        base::time_point ejected_until;
        base::time_point full_until;
        base::time_point paused_until;
        /// Usual end of a call of the endpoint's earlier scheduler.
        base::time_point earlier_call_end;
    };

    /// Handles of the held results by the time at which their lifetime ends; they refer to the keys of
    /// `results_`.
    using expiry_index = std::multimap<base::time_point, std::string_view>;

    struct result_state {
        base::endpoint_id endpoint;
        std::uint64_t bytes = 0;
        expiry_index::iterator expiry;
        bool released = false;
    };

    /// Hash function for handles that avoids copies of the handle in searches.
    struct handle_hash {
        using is_transparent = void;

        std::size_t operator()(std::string_view handle) const {
            return std::hash<std::string_view>()(handle);
        }
    };

    /// Waiting pieces of one stage.
    struct waiting_stage {
        std::vector<waiting_piece> pieces;
        /// Whether pieces of the stage have already been sent.
        bool started = false;
    };

    /// Call that is being filled with pieces.
    struct partial_batch {
        endpoint_state* endpoint = nullptr;
        std::size_t pieces = 0;
        std::uint64_t bytes = 0;
        /// Whether free space is reserved for a stage that was examined earlier and does not fit yet.
        bool reserves_space = false;
    };

    /// Target start and identifier of a stage.
    using queue_key = std::pair<base::time_point, stage_id>;
    using stage_queue = std::map<queue_key, waiting_stage>;

    /// State of a current or former endpoint, or null if there is none.
    endpoint_state* find_endpoint(const base::endpoint_id& endpoint);
    /// Drops the state of a former endpoint that has neither calls in progress nor results.
    void remove_if_idle(const base::endpoint_id& endpoint);
    std::size_t pieces_ahead(const waiting_stage& stage, base::time_point now) const;
    void hold_result(const base::endpoint_id& endpoint, const held_result& held, base::time_point expiry);
    void remove_expired_results(base::time_point now);
    /// Frees the space of a result that was not released yet.
    void free_space(result_state& result);
    std::size_t free_slots(const endpoint_state& state, base::time_point now) const;
    /// Calls at the endpoint, with that of an earlier scheduler.
    static std::size_t calls_at(const endpoint_state& state, base::time_point now);
    base::duration decline_backoff(const endpoint_state& state) const;
    static bool takes_calls(const endpoint_state& state, base::time_point now);
    /// Strict weak ordering of stages by priority.
    static bool has_precedence(const waiting_stage& lhs, const waiting_stage& rhs, base::time_point now);
    bool is_placement_acceptable(const endpoint_state& state, const waiting_piece& piece,
                                 base::time_point now) const;
    std::size_t results_that_fit(const partial_batch& call, const waiting_piece& piece) const;
    std::size_t pieces_to_add(partial_batch& call, const waiting_stage& stage, base::time_point now) const;
    std::vector<stage_queue::iterator> stages_by_priority(base::time_point now);
    std::vector<waiting_piece> fill_batch(endpoint_state& state, std::vector<stage_queue::iterator>& stages,
                                          base::time_point now);
    base::duration call_time(std::size_t pieces) const;
    base::duration queue_delay(std::size_t pieces) const;

    config::piece_limits limits_;
    std::map<base::endpoint_id, endpoint_state> endpoints_;
    /// Former endpoints with calls in progress or results.
    std::map<base::endpoint_id, endpoint_state> former_endpoints_;
    stage_queue queue_;
    std::uint64_t retry_seed_ = 0;
    std::size_t waiting_ = 0;
    /// Results whose lifetime has not ended. Released ones are kept to recognise copies of their answers.
    std::unordered_map<std::string, result_state, handle_hash, std::equal_to<>> results_;
    /// Thousands of results are held, so that the expired ones are not searched for among all of them.
    expiry_index results_by_expiry_;
};

} // namespace rattanbay::relay
