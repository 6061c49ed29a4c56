#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::relay {

/// One whole event of a stream.
struct stream_event {
    /// The event's bytes with the empty line at its end.
    std::string bytes;
    /// Value of its `id` line.
    std::optional<std::string> id;
};

/// Cuts the body of an event stream into whole events. An event that is cut off is never returned,
/// so that a stream that breaks can be continued behind the last event that was passed on.
class event_splitter {
public:
    void add(std::string_view bytes) { pending_ += bytes; }

    /// The next whole event, or nothing until more bytes come.
    std::optional<stream_event> next();

    /// Whether bytes of an event whose end has not come are left.
    bool has_partial_event() const { return !pending_.empty(); }

private:
    std::string pending_;
};

} // namespace rattanbay::relay
