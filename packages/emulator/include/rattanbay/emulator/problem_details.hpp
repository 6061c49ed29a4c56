#pragma once

#include <rattanbay/base/outcome.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::emulator {

/// Members of a problem document that a caller uses.
struct problem_details {
    /// Last segment of the type URI, for example "overloaded".
    std::string type;
    base::outcome outcome = base::outcome::unknown;
    std::optional<std::string> retry_key_prefix = std::nullopt;

    /// Parses a problem document; `std::nullopt` if the text is not one. A missing outcome is
    /// `unknown`.
    static std::optional<problem_details> parse(std::string_view text);
};

} // namespace rattanbay::emulator
