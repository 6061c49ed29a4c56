#include "internal/record.hpp"

#include <rattanbay/base/json.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace rattanbay::ledger::internal {

namespace {

using json = nlohmann::json;

constexpr int hex_base = 16;
constexpr std::size_t hex_digits_per_uint64 = 16;

/// Thrown for a value in a format that the encoder never writes; caught within this file.
struct malformed_value {};

std::uint64_t parse_hex(std::string_view digits) {
    std::uint64_t value = 0;
    const char* const end = digits.data() + digits.size();
    const std::from_chars_result result = std::from_chars(digits.data(), end, value, hex_base);
    if (digits.size() != hex_digits_per_uint64 || result.ec != std::errc() || result.ptr != end) {
        throw malformed_value();
    }
    return value;
}

base::hash128 parse_hash(const std::string& digits) {
    if (digits.size() != hex_digits_per_uint64 * 2) {
        throw malformed_value();
    }
    const std::string_view text(digits);
    return {parse_hex(text.substr(0, hex_digits_per_uint64)), parse_hex(text.substr(hex_digits_per_uint64))};
}

template <class Enum> Enum parse_enum(const std::string& name) {
    const std::optional<Enum> value = base::from_name<Enum>(name);
    if (!value) {
        throw malformed_value();
    }
    return *value;
}

record_entry parse_entry(const json& value) {
    record_entry entry;
    entry.key_hash = parse_hash(value.at("k").get<std::string>());
    entry.body_hash = parse_hash(value.at("b").get<std::string>());
    entry.window = value.at("w").get<std::uint64_t>();
    if (value.contains("a")) {
        entry.reply = response{value.at("s").get<int>(), value.at("a").get<std::string>()};
    } else if (value.contains("p")) {
        base::problem problem;
        problem.kind = parse_enum<base::problem_kind>(value.at("p").get<std::string>());
        problem.outcome = parse_enum<base::outcome>(value.at("o").get<std::string>());
        problem.detail = value.at("d").get<std::string>();
        entry.reply = problem;
    }
    return entry;
}

std::vector<record_entry> parse_entries(const json& values) {
    std::vector<record_entry> entries;
    entries.reserve(values.size());
    for (const json& value : values) {
        entries.push_back(parse_entry(value));
    }
    return entries;
}

json head_to_json(const record_head& head) {
    json segments = json::array();
    for (const segment_range& range : head.segments) {
        segments.push_back({range.first, range.last, range.oldest_window, range.newest_window});
    }
    return {{"commit", base::hash128{0, head.commit_id}.text().substr(hex_digits_per_uint64)},
            {"sealed", head.sealed},
            {"first_window", head.first_window},
            {"segments", std::move(segments)}};
}

} // namespace

object_api::object_key head_key(const base::incarnation& ledger) {
    return {"ledgers", ledger.text()};
}

object_api::object_key segment_key(const base::incarnation& ledger, std::uint64_t number) {
    return {"ledger_segments", ledger.text() + '-' + std::to_string(number)};
}

base::hash128 key_hash(const keyed_request& request) {
    // Neither prefixes nor suffixes contain a line feed, so the concatenation is unambiguous.
    return base::secure_hash(request.key.prefix.unsigned_text() + '\n' + request.key.suffix + '\n' +
                             request.account.text());
}

std::optional<std::string> encode_entry(const record_entry& entry) {
    json value = {{"k", entry.key_hash.text()}, {"b", entry.body_hash.text()}, {"w", entry.window}};
    if (entry.reply) {
        if (const response* as_response = std::get_if<response>(&*entry.reply)) {
            value["s"] = as_response->status;
            value["a"] = as_response->body;
        } else {
            const base::problem& problem = std::get<base::problem>(*entry.reply);
            value["p"] = base::to_name(problem.kind);
            value["o"] = base::to_name(problem.outcome);
            value["d"] = problem.detail;
        }
    }
    try {
        return value.dump();
    } catch (const json::type_error&) {
        return std::nullopt;
    }
}

std::string encode_segment(std::string_view joined_entries) {
    return "[" + std::string(joined_entries) + "]";
}

std::string encode_head(const record_head& head, std::string_view joined_entries) {
    // Each entry is encoded only once. Encoding all entries again for every commit would cost several times
    // as much as the rest of the commit.
    std::string out = head_to_json(head).dump();
    out.pop_back();
    out += R"(,"entries":[)";
    out += joined_entries;
    out += "]}";
    return out;
}

std::string encode_sealed_head(std::string_view head_text) {
    json value = json::parse(head_text);
    value["sealed"] = true;
    return value.dump();
}

base::result<decoded_head> decode_head(std::string_view text) {
    try {
        const json value = base::parse_json<json>(text);
        decoded_head decoded;
        decoded.head.commit_id = parse_hex(value.at("commit").get<std::string>());
        decoded.head.sealed = value.at("sealed").get<bool>();
        decoded.head.first_window = value.at("first_window").get<std::uint64_t>();
        for (const json& range : value.at("segments")) {
            decoded.head.segments.push_back(
                {range.at(0).get<std::uint64_t>(), range.at(1).get<std::uint64_t>(),
                 range.at(2).get<std::uint64_t>(), range.at(3).get<std::uint64_t>()});
        }
        decoded.entries = parse_entries(value.at("entries"));
        return decoded;
    } catch (const json::exception& e) {
        return base::fail(base::error_code::invalid_input, std::string("malformed ledger head: ") + e.what());
    } catch (const malformed_value&) {
        return base::fail(base::error_code::invalid_input, "malformed value in ledger head");
    }
}

base::result<std::vector<record_entry>> decode_segment(std::string_view text) {
    try {
        return parse_entries(base::parse_json<json>(text));
    } catch (const json::exception& e) {
        return base::fail(base::error_code::invalid_input,
                          std::string("malformed ledger segment: ") + e.what());
    } catch (const malformed_value&) {
        return base::fail(base::error_code::invalid_input, "malformed value in ledger segment");
    }
}

} // namespace rattanbay::ledger::internal
