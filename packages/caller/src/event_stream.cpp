#include <rattanbay/caller/event_stream.hpp>

#include <cassert>

namespace rattanbay::caller {

std::string format_event(const server_sent_event& event) {
    assert(event.data.find('\n') == std::string::npos);
    const std::string type = event.type.empty() ? std::string() : "event: " + event.type + "\n";
    return type + "data: " + event.data + "\n\n";
}

std::vector<server_sent_event> event_stream_parser::feed(std::string_view data) {
    std::vector<server_sent_event> events;
    for (std::size_t end = data.find('\n'); end != std::string_view::npos; end = data.find('\n')) {
        partial_line_.append(data.substr(0, end));
        data.remove_prefix(end + 1);
        if (partial_line_.ends_with('\r')) {
            partial_line_.pop_back();
        }
        parse_line(partial_line_, events);
        partial_line_.clear();
    }
    partial_line_.append(data);
    return events;
}

void event_stream_parser::parse_line(std::string_view line, std::vector<server_sent_event>& events) {
    if (line.empty()) {
        if (partial_event_) {
            events.push_back(std::move(*partial_event_));
            partial_event_.reset();
        }
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "data") {
        const bool append_line = partial_event_ && !partial_event_->data.empty();
        partial_event_ = partial_event_ ? std::move(partial_event_) : server_sent_event{};
        partial_event_->data += (append_line ? "\n" : "") + std::string(value);
    } else if (name == "event") {
        partial_event_ = partial_event_ ? std::move(partial_event_) : server_sent_event{};
        partial_event_->type = std::string(value);
    }
}

} // namespace rattanbay::caller
