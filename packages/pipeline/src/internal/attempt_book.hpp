#pragma once

#include "internal/stream_assembler.hpp"

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/pipeline/action.hpp>
#include <rattanbay/pipeline/event.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::pipeline::internal {

/// Sequence of attempts at one endpoint for the current stage. Each attempt has its own connection.
struct endpoint_session {
    /// Current attempt.
    attempt_id attempt;
    /// Whether an attempt was sent; until then the session waits for its route.
    bool started = false;
    base::endpoint_id endpoint;
    base::address address;
    /// The router's estimate of the call duration.
    base::duration estimate{};
    base::time_point first_started_at;
    base::time_point attempt_started_at;
    std::string attempt_header;
    /// Whether a connection timed out and the attempt was repeated on a new connection.
    bool went_silent = false;
    /// Whether the current attempt resumes a broken stream.
    bool resuming = false;
    std::uint32_t resume_count = 0;
    /// Stream identifier at the engine.
    std::optional<std::string> stream;
    stream_assembler assembler;
};

/// Endpoint sessions of the current stage, identified by their current attempt. An attempt without a session
/// has ended; its events are ignored.
class attempt_book {
public:
    /// Removes all sessions and resets the counts for the next stage. Attempt identifiers keep increasing.
    void clear();

    /// Adds a session that waits for its route.
    endpoint_session& add_session();

    /// Stores the endpoint that the router chose for the session.
    void assign_endpoint(endpoint_session& session, const route_chosen& route);

    /// Records that the session's current attempt was sent.
    void record_start(endpoint_session& session, base::time_point now);

    /// Replaces the ended attempt of the session by a new one.
    void assign_new_attempt_id(endpoint_session& session);

    /// Returns the session with this current attempt, or null.
    endpoint_session* find(attempt_id attempt);

    /// Removes the session with this current attempt, if any.
    void remove(attempt_id attempt);

    const std::vector<endpoint_session>& sessions() const { return sessions_; }

    /// Endpoints chosen for the current stage so far.
    const std::vector<base::endpoint_id>& tried_endpoints() const { return tried_endpoints_; }

    /// Number of attempts sent for the current stage.
    std::uint32_t attempt_count() const { return attempt_count_; }

private:
    std::vector<endpoint_session> sessions_;
    std::vector<base::endpoint_id> tried_endpoints_;
    std::uint32_t attempt_count_ = 0;
    std::uint32_t last_attempt_id_ = 0;
};

} // namespace rattanbay::pipeline::internal
