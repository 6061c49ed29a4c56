#pragma once

#include "internal/json_text.hpp"

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattanbay::config::internal {

/// Whether a member is required.
enum class presence { required, optional };

/// Reads the members of a JSON object. A member that is missing, of the wrong type or out of range adds a
/// finding, and reading continues, so that all errors are reported at once.
class object_reader {
public:
    /// `value` and `findings` must outlive the reader. A value that is not an object adds a finding and is
    /// treated as an empty object whose missing members are not reported.
    object_reader(const nlohmann::json& value, std::string pointer, std::vector<finding>& findings);

    /// Integer in [low, high].
    std::optional<std::uint64_t> integer(std::string_view key, std::uint64_t low, std::uint64_t high,
                                         presence requirement = presence::required);

    /// Integer in [low, high]; `low` may be negative.
    std::optional<std::int64_t> signed_integer(std::string_view key, std::int64_t low, std::int64_t high,
                                               presence requirement = presence::required);

    /// Number in [low, high].
    std::optional<double> number(std::string_view key, double low, double high,
                                 presence requirement = presence::required);

    std::optional<bool> boolean(std::string_view key, presence requirement = presence::required);

    /// Any string.
    std::optional<std::string> text(std::string_view key, presence requirement = presence::required);

    /// String that follows `name_rule`.
    std::optional<std::string> name(std::string_view key);

    /// IPv4 address and port, "a.b.c.d:port".
    std::optional<base::address> address(std::string_view key);

    /// Array of addresses; invalid elements are empty in the result.
    std::vector<std::optional<base::address>> addresses(std::string_view key, std::size_t min_size);

    /// Member of any type, or null if it is missing.
    const nlohmann::json* member(std::string_view key, presence requirement = presence::required);

    /// Non-empty object whose keys are names, or null if there is none. Invalid names are reported.
    const nlohmann::json* named_objects(std::string_view key);

    /// Reports members that were not read.
    void report_unknown_keys();

    std::string pointer_to(std::string_view key) const { return child_pointer(pointer_, key); }

    /// Adds a finding for a member.
    void report(std::string_view key, std::string message);

private:
    const nlohmann::json& value_;
    std::string pointer_;
    std::vector<finding>& findings_;
    std::set<std::string, std::less<>> known_keys_;
};

/// Parses the value of a platform object: a JSON object whose members `fill` reads into a `Value`. Returns
/// the first finding as the error.
template <class Value, class Fill> base::result<Value> read_object_value(std::string_view text, Fill fill) {
    parsed_json parsed = parse_json_with_comments(text);
    Value out;
    if (parsed.well_formed) {
        object_reader reader(parsed.value, "", parsed.findings);
        fill(reader, out);
        reader.report_unknown_keys();
    }
    if (!parsed.findings.empty()) {
        const finding& first = parsed.findings.front();
        return base::fail(base::error_code::invalid_input, first.pointer + " " + first.message);
    }
    return out;
}

} // namespace rattanbay::config::internal
