#pragma once

#include <string_view>

namespace rattanbay::config {

/// Human-readable syntax of the names of environments, VMs, services, pipelines, stages and accounts.
inline constexpr std::string_view name_rule =
    "a name has 1 to 64 letters, digits, '.', '_' or '-' and starts with a letter or digit";

/// Whether `text` follows `name_rule`. Names are used in URL paths without escaping.
bool is_valid_name(std::string_view text);

} // namespace rattanbay::config
