#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/expected_output.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rattanbay::emulator {

/// Parameters of one text generation.
struct generation_request {
    nlohmann::json prompt;
    std::uint64_t seed = 0;
    std::uint64_t max_tokens = 0;
    /// Streams with a higher priority start first.
    int priority = 0;
};

/// Read position of a connection in a stream. A newer cursor on the same stream invalidates older
/// ones.
struct stream_cursor {
    std::string stream;
    std::uint64_t version = 0;
    /// Index of the next token.
    std::uint64_t next = 0;
    /// Priority of the stream.
    int priority = 0;
};

/// One generated token.
struct generated_token {
    std::uint64_t index = 0;
    std::string text;
    /// Whether it is the last token of the stream.
    bool last = false;
};

/// Streams of a model engine and their progress. A stream is retained after its last use so that it
/// can be resumed.
class engine_streams {
public:
    /// `engine_id` makes stream identifiers unique across engines.
    engine_streams(std::string engine_id, base::duration retention)
        : engine_id_(std::move(engine_id))
        , retention_(retention) {}

    /// Opens a stream and returns a cursor at its first token.
    stream_cursor open(const generation_request& request, base::time_point now);

    /// Returns a cursor positioned after the token `after`. Errors: `not_found` if the stream is
    /// unknown, cancelled or expired, `conflict` if `after` has not been generated yet.
    base::result<stream_cursor> resume(const std::string& stream, std::uint64_t after, base::time_point now);

    /// Cancels a stream and returns the number of its generated tokens. Errors: `not_found`.
    base::result<std::uint64_t> cancel(const std::string& stream);

    /// Whether the stream exists and this is its newest cursor.
    bool is_current(const stream_cursor& cursor) const;

    /// Restarts the retention time of the stream if the cursor is current.
    void touch(const stream_cursor& cursor, base::time_point now);

    /// Whether `next_token` needs no generation time: the next token already exists or the stream
    /// has ended. Requires `is_current(cursor)`.
    bool can_deliver_now(const stream_cursor& cursor) const;

    /// Returns the next token, generating it if needed, or `std::nullopt` after the last one.
    /// Errors: `not_found` if the cursor is not current.
    base::result<std::optional<generated_token>> next_token(stream_cursor& cursor, base::time_point now);

private:
    struct stream_state {
        token_generator source;
        std::uint64_t max_tokens = 0;
        int priority = 0;
        /// Tokens generated so far.
        std::uint64_t generated = 0;
        /// Version of the newest cursor.
        std::uint64_t cursor_version = 0;
        base::time_point last_used;
    };

    void remove_expired(base::time_point now);

    std::string engine_id_;
    base::duration retention_;
    std::uint64_t opened_count_ = 0;
    std::map<std::string, stream_state> streams_;
};

} // namespace rattanbay::emulator
