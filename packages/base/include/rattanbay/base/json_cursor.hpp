#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rattanbay::base {

/// Reads JSON text from front to back and returns values as their text, without building them. Serves for
/// texts of which only parts are needed, or in which one unreadable value must not hide the others.
///
/// Only the structure is checked: quotes, brackets, colons and commas. After the first error the cursor is
/// invalid and all further reads return nothing. Nesting is not limited, as nothing here recurses.
class json_cursor {
public:
    /// The text must outlive the cursor and all views that it returns.
    explicit json_cursor(std::string_view text)
        : text_(text) {}

    bool is_valid() const { return valid_; }

    /// Whether the value at the cursor is an array.
    bool is_array();

    /// Text of the value at the cursor, which moves behind it; empty if the cursor is invalid.
    std::string_view read_value();

    /// Calls `visit(key)` for each member of the object at the cursor. `visit` may read the member's value;
    /// otherwise it is skipped. The key is passed as it is written, with its escape sequences.
    template <class Visit> void read_members(Visit visit) {
        if (!enter('{')) {
            return;
        }
        while (!leave('}')) {
            const std::string_view key = read_key();
            if (!valid_) {
                return;
            }
            visit_value([&visit, key]() { visit(key); });
        }
    }

    /// Calls `visit()` for each element of the array at the cursor, as for members.
    template <class Visit> void read_elements(Visit visit) {
        if (!enter('[')) {
            return;
        }
        while (!leave(']')) {
            visit_value(visit);
            if (!valid_) {
                return;
            }
        }
    }

private:
    template <class Visit> void visit_value(Visit visit) {
        skip_space();
        const std::size_t start = position_;
        visit();
        if (valid_ && position_ == start) {
            read_value();
        }
        end_item();
    }

    bool fail();
    void skip_space();
    void skip_string();
    void skip_container();
    void skip_scalar();
    std::string_view read_key();
    /// Moves behind the opening bracket of an object or array.
    bool enter(char bracket);
    /// Moves behind the closing bracket if it is next. Also returns true if the cursor is invalid.
    bool leave(char bracket);
    /// Moves behind the comma after an item; a closing bracket stays.
    void end_item();

    std::string_view text_;
    std::size_t position_ = 0;
    bool valid_ = true;
};

/// The unsigned integer that is the whole text of a JSON value, or nothing.
std::optional<std::uint64_t> parse_json_unsigned(std::string_view text);

} // namespace rattanbay::base
