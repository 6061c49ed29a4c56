#include "internal/json_text.hpp"

#include <algorithm>
#include <set>

namespace rattanbay::config::internal {

namespace {

using nlohmann::json;

// Far above what any file needs. Each open level stores its JSON pointer, so without a limit a text of only
// opening brackets would use memory quadratic in its size.
constexpr std::size_t max_depth = 32;

/// Strips from a syntax error message the library's prefix (exception name and location) and the text read
/// last, which may contain a secret.
std::string strip_library_details(const std::string& text) {
    const std::size_t column = text.find("column ");
    const std::size_t prefix = column == std::string::npos ? text.find("] ") : text.find(": ", column);
    const std::size_t start = prefix == std::string::npos ? 0 : prefix + 2;
    return text.substr(start, text.find("; last read: ", start) - start);
}

std::string line_and_column(std::string_view text, std::size_t position) {
    const std::size_t last = std::min(position == 0 ? 0 : position - 1, text.size());
    const std::string_view before = text.substr(0, last);
    const std::size_t line = 1 + static_cast<std::size_t>(std::ranges::count(before, '\n'));
    const std::size_t line_start = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(last - line_start + 1);
}

/// SAX handler that finds duplicate keys, excessive nesting and the location of a syntax error.
class duplicate_key_checker : public json::json_sax_t {
public:
    explicit duplicate_key_checker(std::string_view text)
        : text_(text) {}

    std::vector<finding> take_findings() { return std::move(findings_); }

    bool null() override { return value(); }

    bool boolean(bool) override { return value(); }

    bool number_integer(number_integer_t) override { return value(); }

    bool number_unsigned(number_unsigned_t) override { return value(); }

    bool number_float(number_float_t, const string_t&) override { return value(); }

    bool string(string_t&) override { return value(); }

    bool binary(binary_t&) override { return value(); }

    bool start_object(std::size_t) override { return open(); }

    bool end_object() override { return close(); }

    bool start_array(std::size_t) override { return open(); }

    bool end_array() override { return close(); }

    bool key(string_t& name) override {
        frame& top = frames_.back();
        top.current = name;
        if (!top.keys.insert(name).second) {
            findings_.push_back({child_pointer(top.pointer, name), "duplicate key; remove all but one"});
        }
        return true;
    }

    bool parse_error(std::size_t position, const std::string&, const json::exception& error) override {
        findings_ = {{"", line_and_column(text_, position) + ": " + strip_library_details(error.what())}};
        return false;
    }

private:
    /// An open object or array; `keys` is empty for an array.
    struct frame {
        std::string pointer;
        std::set<std::string> keys;
        std::string current;
        std::size_t next_index = 0;
    };

    bool value() {
        if (!frames_.empty()) {
            ++frames_.back().next_index;
        }
        return true;
    }

    bool open() {
        if (frames_.size() == max_depth) {
            findings_ = {{"", "the text is nested deeper than " + std::to_string(max_depth) + " levels"}};
            return false;
        }
        frame opened;
        if (!frames_.empty()) {
            const frame& top = frames_.back();
            opened.pointer = top.keys.empty() ? child_pointer(top.pointer, top.next_index)
                                              : child_pointer(top.pointer, top.current);
        }
        value();
        frames_.push_back(std::move(opened));
        return true;
    }

    bool close() {
        frames_.pop_back();
        return true;
    }

    std::string_view text_;
    std::vector<frame> frames_;
    std::vector<finding> findings_;
};

} // namespace

parsed_json parse_json_with_comments(std::string_view text) {
    parsed_json out;
    duplicate_key_checker check(text);
    out.well_formed = json::sax_parse(text, &check, json::input_format_t::json, true, true);
    out.findings = check.take_findings();
    if (out.well_formed) {
        out.value = json::parse(text, nullptr, true, true);
    }
    return out;
}

std::string child_pointer(std::string_view pointer, std::string_view key) {
    std::string out(pointer);
    out += '/';
    for (const char symbol : key) {
        if (symbol == '~') {
            out += "~0";
        } else if (symbol == '/') {
            out += "~1";
        } else {
            out += symbol;
        }
    }
    return out;
}

std::string child_pointer(std::string_view pointer, std::size_t index) {
    return std::string(pointer) + '/' + std::to_string(index);
}

} // namespace rattanbay::config::internal
