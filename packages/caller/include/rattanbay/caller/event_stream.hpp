#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::caller {

/// Data of the event that terminates a complete stream.
constexpr std::string_view end_of_stream = "[DONE]";

/// One server-sent event.
struct server_sent_event {
    /// Empty for the default event type.
    std::string type;
    std::string data;

    friend bool operator==(const server_sent_event&, const server_sent_event&) = default;
};

/// Serializes an event; its data must not contain a line break.
std::string format_event(const server_sent_event& event);

/// Incremental parser of server-sent events; the input may be split at any byte. Ignores comment lines.
class event_stream_parser {
public:
    /// Consumes the next part of the input and returns the events that it completes.
    std::vector<server_sent_event> feed(std::string_view data);

    /// Whether an incomplete event is buffered.
    bool has_partial_event() const { return !partial_line_.empty() || partial_event_.has_value(); }

    /// Bytes of the incomplete event.
    std::size_t pending_bytes() const {
        const std::size_t event_bytes =
            partial_event_ ? partial_event_->type.size() + partial_event_->data.size() : 0;
        return partial_line_.size() + event_bytes;
    }

private:
    void parse_line(std::string_view line, std::vector<server_sent_event>& events);

    std::string partial_line_;
    std::optional<server_sent_event> partial_event_;
};

} // namespace rattanbay::caller
