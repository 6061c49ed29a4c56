#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::relay {

/// One complete event of an event stream.
struct stream_event {
    /// Bytes of the event, including the terminating empty line.
    std::string bytes;
    /// Value of the event's `id` line, if it has one.
    std::optional<std::string> id;
};

/// Splits the body of an event stream into complete events. Truncated events are never returned, so that a
/// broken stream can be resumed after the last event that was passed on.
class event_splitter {
public:
    /// Appends received bytes of the stream.
    void append(std::string_view bytes) { pending_ += bytes; }

    /// Extracts the next complete event; empty if more bytes are needed.
    std::optional<stream_event> next();

    /// Whether bytes of an incomplete event remain.
    bool has_partial_event() const { return !pending_.empty(); }

private:
    std::string pending_;
};

} // namespace rattanbay::relay
