#pragma once

#include <rattanbay/ctl/exit_code.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace rattanbay::ctl {

/// Result of a command as text and as JSON.
struct report {
    exit_code code = exit_code::success;
    /// Human-readable output.
    std::string text;
    /// The same result as a JSON object.
    nlohmann::ordered_json data;
};

} // namespace rattanbay::ctl
