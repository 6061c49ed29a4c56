#include <rattanbay/base/json_cursor.hpp>

#include <charconv>

namespace rattanbay::base {

namespace {

bool is_space(char symbol) {
    return symbol == ' ' || symbol == '\n' || symbol == '\r' || symbol == '\t';
}

/// Whether the quote at `position` is part of the string, as an odd number of backslashes precedes it.
bool is_escaped(std::string_view text, std::size_t position) {
    std::size_t backslashes = 0;
    while (backslashes < position && text[position - backslashes - 1] == '\\') {
        ++backslashes;
    }
    return backslashes % 2 == 1;
}

} // namespace

bool json_cursor::fail() {
    valid_ = false;
    position_ = text_.size();
    return false;
}

void json_cursor::skip_space() {
    while (position_ < text_.size() && is_space(text_[position_])) {
        ++position_;
    }
}

void json_cursor::skip_string() {
    std::size_t end = text_.find('"', position_ + 1);
    while (end != std::string_view::npos && is_escaped(text_, end)) {
        end = text_.find('"', end + 1);
    }
    if (end == std::string_view::npos) {
        fail();
    } else {
        position_ = end + 1;
    }
}

void json_cursor::skip_container() {
    std::size_t depth = 0;
    while (position_ < text_.size()) {
        const char symbol = text_[position_];
        if (symbol == '"') {
            skip_string();
            continue;
        }
        ++position_;
        if (symbol == '{' || symbol == '[') {
            ++depth;
        } else if ((symbol == '}' || symbol == ']') && --depth == 0) {
            return;
        }
    }
    fail();
}

void json_cursor::skip_scalar() {
    const std::size_t start = position_;
    while (position_ < text_.size() && !is_space(text_[position_]) && text_[position_] != ',' &&
           text_[position_] != ':' && text_[position_] != '}' && text_[position_] != ']') {
        ++position_;
    }
    if (position_ == start) {
        fail();
    }
}

std::string_view json_cursor::read_value() {
    skip_space();
    const std::size_t start = position_;
    if (start == text_.size()) {
        fail();
    } else if (text_[start] == '"') {
        skip_string();
    } else if (text_[start] == '{' || text_[start] == '[') {
        skip_container();
    } else {
        skip_scalar();
    }
    return valid_ ? text_.substr(start, position_ - start) : std::string_view();
}

std::string_view json_cursor::read_key() {
    skip_space();
    const std::size_t start = position_ + 1;
    if (position_ == text_.size() || text_[position_] != '"') {
        fail();
        return {};
    }
    skip_string();
    if (!valid_) {
        return {};
    }
    const std::string_view key = text_.substr(start, position_ - 1 - start);
    skip_space();
    if (position_ == text_.size() || text_[position_] != ':') {
        fail();
        return {};
    }
    ++position_;
    return key;
}

bool json_cursor::is_array() {
    skip_space();
    return position_ < text_.size() && text_[position_] == '[';
}

bool json_cursor::enter(char bracket) {
    skip_space();
    if (position_ == text_.size() || text_[position_] != bracket) {
        return fail();
    }
    ++position_;
    return true;
}

bool json_cursor::leave(char bracket) {
    skip_space();
    if (!valid_) {
        return true;
    }
    if (position_ < text_.size() && text_[position_] == bracket) {
        ++position_;
        return true;
    }
    return false;
}

void json_cursor::end_item() {
    skip_space();
    const char next = position_ < text_.size() ? text_[position_] : '\0';
    if (next == ',') {
        ++position_;
    } else if (next != '}' && next != ']') {
        fail();
    }
}

std::optional<std::uint64_t> parse_json_unsigned(std::string_view text) {
    std::uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    return is_whole ? std::optional<std::uint64_t>(value) : std::nullopt;
}

} // namespace rattanbay::base
