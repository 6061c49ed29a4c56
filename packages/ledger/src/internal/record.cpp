#include "internal/record.hpp"

#include <rattanbay/base/json.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace rattanbay::ledger::internal {

namespace {

using json = nlohmann::json;

constexpr int hexadecimal = 16;
constexpr std::size_t digits_of_64_bits = 16;

/// A value of a record that has another form than the codec writes. Does not leave this file.
struct damaged {};

std::uint64_t read_hex(std::string_view digits) {
    std::uint64_t value = 0;
    const char* const end = digits.data() + digits.size();
    const std::from_chars_result read = std::from_chars(digits.data(), end, value, hexadecimal);
    if (digits.size() != digits_of_64_bits || read.ec != std::errc() || read.ptr != end) {
        throw damaged();
    }
    return value;
}

base::hash128 read_hash(const std::string& digits) {
    if (digits.size() != digits_of_64_bits * 2) {
        throw damaged();
    }
    const std::string_view text(digits);
    return {read_hex(text.substr(0, digits_of_64_bits)), read_hex(text.substr(digits_of_64_bits))};
}

template <class Enum> Enum read_enum(const std::string& name) {
    const std::optional<Enum> value = base::from_name<Enum>(name);
    if (!value) {
        throw damaged();
    }
    return *value;
}

record_entry read_entry(const json& value) {
    record_entry entry;
    entry.key_hash = read_hash(value.at("k").get<std::string>());
    entry.body_hash = read_hash(value.at("b").get<std::string>());
    entry.window = value.at("w").get<std::uint64_t>();
    if (value.contains("a")) {
        entry.reply = answer{value.at("s").get<int>(), value.at("a").get<std::string>()};
    } else if (value.contains("p")) {
        base::problem problem;
        problem.kind = read_enum<base::problem_kind>(value.at("p").get<std::string>());
        problem.outcome = read_enum<base::outcome>(value.at("o").get<std::string>());
        problem.detail = value.at("d").get<std::string>();
        entry.reply = problem;
    }
    return entry;
}

std::vector<record_entry> read_entries(const json& values) {
    std::vector<record_entry> entries;
    entries.reserve(values.size());
    for (const json& value : values) {
        entries.push_back(read_entry(value));
    }
    return entries;
}

json head_json(const record_head& head) {
    json segments = json::array();
    for (const segment_range& range : head.segments) {
        segments.push_back({range.first, range.last, range.oldest, range.newest});
    }
    return {{"commit", base::hash128{0, head.commit}.text().substr(digits_of_64_bits)},
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
    // Neither prefixes nor caller's parts hold a line feed, so the parts cannot be confused.
    return base::secure_hash(request.key.prefix.unsigned_text() + '\n' + request.key.caller_part + '\n' +
                             request.account.text());
}

std::optional<std::string> encode_entry(const record_entry& entry) {
    json value = {{"k", entry.key_hash.text()}, {"b", entry.body_hash.text()}, {"w", entry.window}};
    if (entry.reply) {
        if (const answer* whole = std::get_if<answer>(&*entry.reply)) {
            value["s"] = whole->status;
            value["a"] = whole->body;
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
    // The entries are already encoded, once each; encoding all of them for each commit would
    // cost a multiple of the rest of the commit.
    std::string out = head_json(head).dump();
    out.pop_back();
    out += R"(,"entries":[)";
    out += joined_entries;
    out += "]}";
    return out;
}

std::string encode_sealed(std::string_view head_text) {
    json value = json::parse(head_text);
    value["sealed"] = true;
    return value.dump();
}

base::result<record> decode_head(std::string_view text) {
    try {
        const json value = base::parse_json<json>(text);
        record read;
        read.head.commit = read_hex(value.at("commit").get<std::string>());
        read.head.sealed = value.at("sealed").get<bool>();
        read.head.first_window = value.at("first_window").get<std::uint64_t>();
        for (const json& range : value.at("segments")) {
            read.head.segments.push_back({range.at(0).get<std::uint64_t>(), range.at(1).get<std::uint64_t>(),
                                          range.at(2).get<std::uint64_t>(),
                                          range.at(3).get<std::uint64_t>()});
        }
        read.entries = read_entries(value.at("entries"));
        return read;
    } catch (const json::exception& e) {
        return base::fail(base::error_code::invalid_input,
                          std::string("the head of a ledger is damaged: ") + e.what());
    } catch (const damaged&) {
        return base::fail(base::error_code::invalid_input, "the head of a ledger has a malformed value");
    }
}

base::result<std::vector<record_entry>> decode_segment(std::string_view text) {
    try {
        return read_entries(base::parse_json<json>(text));
    } catch (const json::exception& e) {
        return base::fail(base::error_code::invalid_input,
                          std::string("a segment of a ledger is damaged: ") + e.what());
    } catch (const damaged&) {
        return base::fail(base::error_code::invalid_input, "a segment of a ledger has a malformed value");
    }
}

} // namespace rattanbay::ledger::internal
