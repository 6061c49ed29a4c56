#pragma once

#include <cstddef>
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
/// broken stream can be resumed after the last event that was passed on. The caller bounds `pending_bytes`;
/// the time is proportional to the bytes received, however they are divided.
class event_splitter {
public:
    /// Appends received bytes of the stream.
    void append(std::string_view bytes);

    /// Extracts the next complete event; empty if more bytes are needed.
    std::optional<stream_event> next();

    /// Whether bytes of an incomplete event remain.
    bool has_partial_event() const { return pending_bytes() > 0; }

    /// Received bytes that were not returned yet.
    std::size_t pending_bytes() const { return received_.size() - begin_; }

private:
    std::string received_;
    /// Start of the first event that was not returned yet.
    std::size_t begin_ = 0;
    /// No event ends at or before this position.
    std::size_t searched_ = 0;
};

} // namespace rattanbay::relay
