#include <rattanbay/emulator/problem_details.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanbay::emulator {

std::optional<problem_details> problem_details::parse(std::string_view text) {
    using json = nlohmann::json;
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("type") || !document["type"].is_string()) {
        return std::nullopt;
    }
    problem_details out;
    const std::string type = document["type"].get<std::string>();
    out.type = type.substr(type.find_last_of("/:#") + 1);
    std::replace(out.type.begin(), out.type.end(), '-', '_');
    const json outcome = document.value("outcome", json());
    if (outcome.is_string()) {
        out.outcome =
            base::from_name<base::outcome>(outcome.get<std::string>()).value_or(base::outcome::unknown);
    }
    const json prefix = document.value("retry_key_prefix", json());
    if (prefix.is_string()) {
        out.retry_key_prefix = prefix.get<std::string>();
    }
    return out;
}

} // namespace rattanbay::emulator
