#include <rattanbay/relay/event_splitter.hpp>

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

/// Returns the position after the first empty line, or npos.
std::size_t find_event_end(std::string_view bytes) {
    for (std::size_t n = bytes.find('\n'); n != std::string_view::npos; n = bytes.find('\n', n + 1)) {
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

std::optional<stream_event> event_splitter::next() {
    const std::size_t end = find_event_end(pending_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    stream_event out{pending_.substr(0, end), std::nullopt};
    out.id = event_id(out.bytes);
    pending_.erase(0, end);
    return out;
}

} // namespace rattanbay::relay
