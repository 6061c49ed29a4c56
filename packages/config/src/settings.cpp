#include "internal/json_text.hpp"
#include "internal/object_reader.hpp"

#include <rattanbay/config/settings.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <map>
#include <sstream>

namespace rattanbay::config {

namespace {

using internal::object_reader;
using internal::presence;

constexpr std::size_t min_secret_size = 16;
constexpr std::uint64_t max_threads = 256;
constexpr std::uint64_t min_body_limit = 1024;
constexpr std::uint64_t max_body_limit = 64 * 1024 * 1024;
constexpr std::uint64_t min_memory_mb = 32;
constexpr std::uint64_t max_memory_mb = 1024 * 1024;
constexpr std::size_t bytes_per_mb = 1024 * 1024;
/// Parts of the memory that all held responses and one of them may take.
constexpr std::size_t held_responses_divisor = 8;
constexpr std::size_t one_response_divisor = 16;
constexpr std::uint64_t max_duration_ms = 3'600'000;
constexpr std::uint64_t max_read_timeout_ms = 600'000;
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning", "error"};

/// Reports duplicate addresses. Two listeners cannot share an address, and a daemon whose peer or platform
/// address equals one of its own would connect to itself.
class duplicate_address_checker {
public:
    explicit duplicate_address_checker(std::vector<finding>& findings)
        : findings_(findings) {}

    void check(const base::address& value, const std::string& pointer) {
        const auto [it, is_new] = first_use_.emplace(value, pointer);
        if (!is_new) {
            findings_.push_back(
                {pointer, value.text() + " is already used at " + it->second + "; addresses must be unique"});
        }
    }

private:
    std::vector<finding>& findings_;
    std::map<base::address, std::string> first_use_;
};

base::address read_own_address(object_reader& reader, std::string_view key,
                               duplicate_address_checker& addresses) {
    const std::optional<base::address> value = reader.address(key);
    if (!value) {
        return {};
    }
    if (value->ip == std::array<std::uint8_t, 4>{}) {
        reader.report(key, "must be an address that others can connect to, not 0.0.0.0");
    }
    addresses.check(*value, reader.pointer_to(key));
    return *value;
}

std::vector<base::address> read_addresses(object_reader& reader, std::string_view key, std::size_t min_size,
                                          duplicate_address_checker& addresses) {
    const std::vector<std::optional<base::address>> values = reader.addresses(key, min_size);
    std::vector<base::address> out;
    for (std::size_t n = 0; n < values.size(); ++n) {
        if (values[n]) {
            addresses.check(*values[n], internal::child_pointer(reader.pointer_to(key), n));
            out.push_back(*values[n]);
        }
    }
    return out;
}

/// Reads the seed list without the daemon's own address: all daemons may share one list.
std::vector<base::address> read_seeds(object_reader& reader, const base::address& own,
                                      duplicate_address_checker& addresses) {
    std::vector<base::address> out;
    const std::vector<std::optional<base::address>> values = reader.addresses("seed_peers", 0);
    for (std::size_t n = 0; n < values.size(); ++n) {
        if (values[n] && *values[n] != own) {
            addresses.check(*values[n], internal::child_pointer(reader.pointer_to("seed_peers"), n));
            out.push_back(*values[n]);
        }
    }
    return out;
}

void read_duration(object_reader& reader, std::string_view key, std::uint64_t low, std::uint64_t high,
                   base::duration& out) {
    const std::optional<std::uint64_t> value = reader.integer(key, low, high, presence::optional);
    if (value) {
        out = std::chrono::milliseconds(*value);
    }
}

void read_limits(object_reader& reader, settings& out) {
    out.threads = reader.integer("threads", 1, max_threads, presence::optional).value_or(out.threads);
    out.max_body_bytes = reader.integer("max_body_bytes", min_body_limit, max_body_limit, presence::optional)
                             .value_or(out.max_body_bytes);
    const std::optional<std::uint64_t> memory_mb =
        reader.integer("memory_mb", min_memory_mb, max_memory_mb, presence::optional);
    out.memory_bytes = memory_mb ? *memory_mb * bytes_per_mb : out.memory_bytes;
    read_duration(reader, "request_arrival_ms", 1, max_read_timeout_ms, out.request_read_timeout);
    read_duration(reader, "entries_max_age_ms", 1, max_duration_ms, out.entries_max_age);
    read_duration(reader, "drain_limit_ms", 0, max_duration_ms, out.drain_timeout);
    out.log_level = reader.text("log_level", presence::optional).value_or(out.log_level);
    if (std::ranges::find(log_levels, out.log_level) == log_levels.end()) {
        reader.report("log_level", "must be one of debug, info, warning, error");
    }
}

// Bounds of the retry budget in the relay section.
constexpr double max_ratio = 10;
constexpr double max_extra_attempts = 1'000'000;

/// Reads the window of the budget of resends: in seconds, which may have a fraction, or in whole
/// milliseconds.
void read_resend_window(object_reader& reader, base::duration& out) {
    constexpr double ms_per_second = 1000;
    constexpr double min_seconds = 0.001;
    constexpr double max_seconds = static_cast<double>(max_duration_ms) / ms_per_second;
    read_duration(reader, "resend_window_ms", 1, max_duration_ms, out);
    const std::optional<double> seconds =
        reader.number("resend_window_s", min_seconds, max_seconds, presence::optional);
    if (seconds) {
        out = std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(*seconds));
    }
}

relay_settings read_relay_settings(object_reader& reader, duplicate_address_checker& addresses) {
    relay_settings out;
    out.readiness_address = read_own_address(reader, "readiness_address", addresses);
    out.entries_address = read_own_address(reader, "entries_address", addresses);
    out.retry_budget.ratio =
        reader.number("resend_ratio", 0, max_ratio, presence::optional).value_or(out.retry_budget.ratio);
    out.retry_budget.extra_attempts = reader.number("resend_extra", 0, max_extra_attempts, presence::optional)
                                          .value_or(out.retry_budget.extra_attempts);
    read_resend_window(reader, out.retry_budget.window);
    read_duration(reader, "stop_accepting_ms", 0, max_duration_ms, out.accept_grace_period);
    read_duration(reader, "relisting_ms", 0, max_duration_ms, out.relisting_grace_period);
    reader.report_unknown_keys();
    return out;
}

// Bounds of the processor section; they only exclude values that no VM has.
constexpr double max_core_share = 1024;
constexpr double max_speed = 1024;

void read_positive_number(object_reader& reader, std::string_view key, double high, double& out) {
    const std::optional<double> value = reader.number(key, 0, high, presence::optional);
    if (value && *value <= 0) {
        reader.report(key, "must be greater than 0");
    } else if (value) {
        out = *value;
    }
}

processor_settings read_processor_settings(object_reader& reader) {
    processor_settings out;
    read_positive_number(reader, "core_share", max_core_share, out.core_share);
    read_positive_number(reader, "speed", max_speed, out.speed);
    reader.report_unknown_keys();
    return out;
}

void read_secret(object_reader& reader, settings& out) {
    const std::optional<std::string> secret = reader.text("cluster_secret");
    if (secret && secret->size() < min_secret_size) {
        reader.report("cluster_secret",
                      "must have at least " + std::to_string(min_secret_size) + " characters");
    }
    out.cluster_secret = secret.value_or("");
}

} // namespace

std::uint32_t processor_settings::capacity_percent() const {
    constexpr double percent = 100;
    return static_cast<std::uint32_t>(std::max(1.0, std::round(core_share * speed * percent)));
}

std::size_t settings::max_held_response_bytes() const {
    return memory_bytes / held_responses_divisor;
}

std::size_t settings::max_response_bytes() const {
    return memory_bytes / one_response_divisor;
}

validation_result<settings> settings::parse(std::string_view text) {
    internal::parsed_json parsed = internal::parse_json_with_comments(text);
    std::vector<finding>& findings = parsed.findings;
    if (!parsed.well_formed) {
        return tl::unexpected(std::move(findings));
    }
    settings out;
    object_reader reader(parsed.value, "", findings);
    duplicate_address_checker addresses(findings);
    out.environment = reader.name("environment").value_or("");
    out.vm = base::vm_id(reader.name("vm").value_or(""));
    out.failure_domain = base::failure_domain(reader.name("failure_domain").value_or(""));
    out.caller_address = read_own_address(reader, "caller_address", addresses);
    out.peer_address = read_own_address(reader, "peer_address", addresses);
    out.operator_address = read_own_address(reader, "operator_address", addresses);
    out.platform_addresses = read_addresses(reader, "platform_addresses", 1, addresses);
    out.seed_peers = read_seeds(reader, out.peer_address, addresses);
    read_secret(reader, out);
    read_limits(reader, out);
    const nlohmann::json* const processor = reader.member("processor", presence::optional);
    if (processor != nullptr) {
        object_reader section(*processor, reader.pointer_to("processor"), findings);
        out.processor = read_processor_settings(section);
    }
    const nlohmann::json* const relay = reader.member("relay", presence::optional);
    if (relay != nullptr) {
        object_reader section(*relay, reader.pointer_to("relay"), findings);
        out.relay = read_relay_settings(section, addresses);
    }
    reader.report_unknown_keys();
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return out;
}

validation_result<settings> settings::read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return tl::unexpected(std::vector<finding>{{"", "the file cannot be read"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    validation_result<settings> parsed = parse(text.str());
    if (parsed) {
        parsed->source_path = path;
    }
    return parsed;
}

} // namespace rattanbay::config
