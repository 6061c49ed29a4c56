#include "internal/relay_reader.hpp"

#include <rattanbay/config/relay_parts.hpp>

#include <algorithm>
#include <limits>
#include <memory>

namespace rattanbay::config::internal {

namespace {

using nlohmann::json;

/// Longer durations are taken as this one.
constexpr double max_duration_ms = 3'600'000;
constexpr std::uint64_t max_count = 1'000'000'000'000;
constexpr std::int64_t max_urgency = 1'000'000'000;
constexpr std::uint64_t min_header_bytes = 1024;

/// Reads a duration in possibly fractional milliseconds.
base::duration read_ms(object_reader& reader, std::string_view key,
                       presence requirement = presence::required) {
    constexpr double no_limit = std::numeric_limits<double>::max();
    const double value = reader.number(key, 0, no_limit, requirement).value_or(0);
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(std::min(value, max_duration_ms)));
}

/// Calls `read` with each element of an array member and its pointer.
template <class Read>
void read_array(object_reader& reader, std::string_view key, std::vector<finding>& findings, Read read) {
    const json* const list = reader.member(key);
    if (list == nullptr) {
        return;
    }
    if (!list->is_array()) {
        reader.report(key, "must be an array");
        return;
    }
    for (std::size_t n = 0; n < list->size(); ++n) {
        read((*list)[n], child_pointer(reader.pointer_to(key), n), findings);
    }
}

relay_stage read_stage(const json& value, const std::string& pointer, std::size_t index,
                       std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    relay_stage out;
    out.service = base::service_name(reader.text("service").value_or(""));
    out.result_bytes = reader.integer("result_bytes", 0, max_count).value_or(0);
    read_array(reader, "after", findings, [&](const json& row, const std::string& element_pointer, auto&) {
        // A stage may depend only on earlier stages, so that the listed order is a valid execution order.
        if (!row.is_number_unsigned() || row.get<std::size_t>() >= index) {
            findings.push_back({element_pointer, "must be the index of an earlier stage"});
            return;
        }
        out.depends_on.push_back(row.get<std::size_t>());
    });
    reader.report_unknown_keys();
    return out;
}

void read_bounds(object_reader& reader, relay_route& out) {
    out.timeout = read_ms(reader, "timeout_ms");
    out.latency_objective = read_ms(reader, "objective_ms", presence::optional);
    out.max_event_gap = read_ms(reader, "longest_pause_ms", presence::optional);
    out.client_patience = read_ms(reader, "patience_ms", presence::optional);
    out.urgency = static_cast<int>(
        reader.signed_integer("urgency", 0, max_urgency, presence::optional).value_or(out.urgency));
    out.max_attempts =
        reader.integer("max_attempts", 1, max_count, presence::optional).value_or(out.max_attempts);
}

void read_repeat(object_reader& reader, relay_route& out) {
    const std::string text = reader.text("repeat").value_or("");
    const std::optional<retry_mode> rule = base::from_name<retry_mode>(text);
    if (!rule) {
        reader.report("repeat", "must be one of at_most_once, idempotent, resumable");
    }
    out.retry = rule.value_or(retry_mode::at_most_once);
    out.streamed = reader.boolean("streamed", presence::optional).value_or(false);
    out.is_public = reader.boolean("public", presence::optional).value_or(false);
    out.prefix_affinity = reader.boolean("has_prompts", presence::optional).value_or(false);
}

relay_route read_route(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    relay_route out;
    out.name = reader.text("name").value_or("");
    out.host = reader.text("host").value_or("");
    out.path_prefix = reader.text("path_prefix").value_or("");
    if (out.path_prefix.empty() || out.path_prefix.front() != '/' || out.path_prefix.back() != '/') {
        reader.report("path_prefix", "must begin and end with a slash");
    }
    read_repeat(reader, out);
    read_bounds(reader, out);
    read_array(reader, "targets", findings, [&](const json& row, const std::string& element_pointer, auto&) {
        object_reader target(row, element_pointer, findings);
        out.targets.push_back({base::service_name(target.text("service").value_or("")),
                               target.number("weight", 0, static_cast<double>(max_count)).value_or(0)});
        target.report_unknown_keys();
    });
    read_array(reader, "stages", findings, [&](const json& row, const std::string& element_pointer, auto&) {
        out.stages.push_back(read_stage(row, element_pointer, out.stages.size(), findings));
    });
    reader.report_unknown_keys();
    return out;
}

engine_limits read_engine(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    engine_limits out;
    out.max_batch_size = reader.integer("batch", 1, max_count).value_or(1);
    out.kv_cache_tokens = reader.integer("kv_tokens", 0, max_count).value_or(0);
    reader.report_unknown_keys();
    return out;
}

piece_limits read_pieces(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    piece_limits out;
    out.max_concurrent_calls = reader.integer("slots", 1, max_count).value_or(1);
    out.max_queued_calls = reader.integer("queue", 0, max_count).value_or(0);
    out.max_batch_size = reader.integer("batch", 1, max_count).value_or(1);
    out.call_overhead = read_ms(reader, "call_ms");
    out.time_per_piece = read_ms(reader, "piece_ms");
    out.result_capacity_bytes = reader.integer("result_room_bytes", 0, max_count).value_or(0);
    out.result_lifetime = read_ms(reader, "result_lifetime_ms");
    out.result_bandwidth_mbps =
        reader.number("result_link_mbps", 0, static_cast<double>(max_count), presence::optional).value_or(0);
    reader.report_unknown_keys();
    return out;
}

relay_service read_service(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    relay_service out;
    out.name = base::service_name(reader.text("name").value_or(""));
    out.max_connections = reader.integer("max_connections", 1, max_count).value_or(1);
    const json* const engine = reader.member("engine", presence::optional);
    if (engine != nullptr) {
        out.engine = read_engine(*engine, reader.pointer_to("engine"), findings);
    }
    const json* const pieces = reader.member("pieces", presence::optional);
    if (pieces != nullptr) {
        out.pieces = read_pieces(*pieces, reader.pointer_to("pieces"), findings);
    }
    out.cold_time = read_ms(reader, "cold_ms", presence::optional);
    out.cold_requests_per_second =
        reader.number("cold_per_s", 0, static_cast<double>(max_count), presence::optional).value_or(0);
    reader.report_unknown_keys();
    return out;
}

client_limits read_limits(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    client_limits out;
    out.max_header_bytes =
        reader.integer("header_bytes", min_header_bytes, max_count).value_or(min_header_bytes);
    out.max_body_bytes = reader.integer("body_bytes", 0, max_count).value_or(0);
    out.header_read_timeout = read_ms(reader, "header_arrival_ms");
    out.idle_timeout = read_ms(reader, "idle_ms");
    reader.report_unknown_keys();
    return out;
}

relay_account read_account(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    relay_account account;
    account.name = base::account_id(reader.text("name").value_or(""));
    const std::optional<std::int64_t> urgency =
        reader.signed_integer("urgency", 0, max_urgency, presence::optional);
    if (urgency) {
        account.urgency = static_cast<int>(*urgency);
    }
    read_array(reader, "key_sha256", findings,
               [&](const json& row, const std::string& element_pointer, auto&) {
                   if (!row.is_string()) {
                       findings.push_back({element_pointer, "must be a string"});
                       return;
                   }
                   account.key_hashes.push_back(row.get<std::string>());
               });
    reader.report_unknown_keys();
    return account;
}

/// Reads a part whose pointers are relative to it.
template <class Part, class Read> part_reading<Part> read_part(const json& value, Read read) {
    part_reading<Part> out;
    out.value = read(value, "", out.findings);
    return out;
}

} // namespace

relay_document read_relay(const json& value, const std::string& pointer, std::vector<finding>& findings) {
    object_reader reader(value, pointer, findings);
    relay_document out;
    read_array(reader, "routes", findings, [&](const json& row, const std::string& element_pointer, auto&) {
        out.routes.push_back(std::make_shared<const relay_route>(read_route(row, element_pointer, findings)));
    });
    read_array(reader, "services", findings, [&](const json& row, const std::string& element_pointer, auto&) {
        relay_service read = read_service(row, element_pointer, findings);
        const base::service_name name = read.name;
        out.services.insert_or_assign(name, std::move(read));
    });
    const json* const limits = reader.member("limits", presence::optional);
    if (limits != nullptr) {
        out.limits = read_limits(*limits, reader.pointer_to("limits"), findings);
    }
    out.keys_required = reader.boolean("keys_required").value_or(false);
    read_array(reader, "accounts", findings, [&](const json& row, const std::string& element_pointer, auto&) {
        const std::shared_ptr<const relay_account> account =
            std::make_shared<const relay_account>(read_account(row, element_pointer, findings));
        for (const std::string& hash : account->key_hashes) {
            out.accounts_by_key_hash[hash] = account;
        }
    });
    reader.report_unknown_keys();
    return out;
}

} // namespace rattanbay::config::internal

namespace rattanbay::config {

part_reading<relay_route> read_relay_route(const nlohmann::json& value) {
    return internal::read_part<relay_route>(value, internal::read_route);
}

part_reading<relay_service> read_relay_service(const nlohmann::json& value) {
    return internal::read_part<relay_service>(value, internal::read_service);
}

part_reading<relay_account> read_relay_account(const nlohmann::json& value) {
    return internal::read_part<relay_account>(value, internal::read_account);
}

part_reading<client_limits> read_client_limits(const nlohmann::json& value) {
    return internal::read_part<client_limits>(value, internal::read_limits);
}

} // namespace rattanbay::config
