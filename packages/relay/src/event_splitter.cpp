#include <rattanbay/relay/event_splitter.hpp>

#include <algorithm>

namespace rattanbay::relay {

namespace {

std::optional<std::string> event_id(std::string_view event) {
    constexpr std::string_view field_prefix = "id:";
    std::optional<std::string> id;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with(field_prefix)) {
            line.remove_prefix(field_prefix.size());
            // A single space after the colon is not part of the value.
            line.remove_prefix(line.starts_with(' ') ? 1 : 0);
            id = std::string(line);
        }
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    }
    return id;
}

/// Characters of the longest end of an event that may be incomplete, `\n\r`.
constexpr std::size_t max_partial_end = 2;

/// Returns the position after the first empty line whose preceding line ends at `from` or later, or npos.
std::size_t find_event_end(std::string_view bytes, std::size_t from) {
    for (std::size_t n = bytes.find('\n', from); n != std::string_view::npos; n = bytes.find('\n', n + 1)) {
        const std::string_view rest = bytes.substr(n + 1);
        if (rest.starts_with('\n')) {
            return n + 2;
        }
        if (rest.starts_with("\r\n")) {
            return n + 3;
        }
    }
    return std::string_view::npos;
}

} // namespace

void event_splitter::append(std::string_view bytes) {
    received_.erase(0, begin_);
    searched_ -= begin_;
    begin_ = 0;
    received_ += bytes;
}

std::optional<stream_event> event_splitter::next() {
    const std::size_t end = find_event_end(received_, searched_);
    if (end == std::string::npos) {
        const std::size_t partial = std::min(max_partial_end, pending_bytes());
        searched_ = std::max(searched_, received_.size() - partial);
        return std::nullopt;
    }
    stream_event out{received_.substr(begin_, end - begin_), std::nullopt};
    out.id = event_id(out.bytes);
    begin_ = end;
    searched_ = end;
    return out;
}

} // namespace rattanbay::relay
