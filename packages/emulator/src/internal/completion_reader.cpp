#include "completion_reader.hpp"

#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

void completion_reader::feed(std::string_view chunk) {
    buffer_ += chunk;
    std::size_t start = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', start)) {
        parse_line(std::string_view(buffer_).substr(start, end - start));
        start = end + 1;
    }
    buffer_.erase(0, start);
}

void completion_reader::parse_line(std::string_view line) {
    constexpr std::string_view data_field = "data:";
    constexpr std::string_view event_field = "event:";
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    const auto field_value = [line](std::string_view field) {
        const std::string_view value = line.substr(field.size());
        return value.starts_with(' ') ? value.substr(1) : value;
    };
    if (line.empty()) {
        event_.clear();
    } else if (line.starts_with(event_field)) {
        event_ = std::string(field_value(event_field));
    } else if (line.starts_with(data_field)) {
        parse_data(field_value(data_field));
    }
}

void completion_reader::parse_data(std::string_view data) {
    if (event_ == "error") {
        problem_ = problem_details::parse(data);
        malformed_ = malformed_ || !problem_;
        return;
    }
    if (data == "[DONE]") {
        done_ = true;
        return;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    const nlohmann::json::json_pointer text("/choices/0/text");
    if (!event.is_object() || !event.contains(text) || !event[text].is_string() || done_) {
        malformed_ = true;
        return;
    }
    text_ += event[text].get<std::string>();
    has_tokens_ = true;
}

} // namespace rattanbay::emulator::internal
