#include "internal/json_text.hpp"
#include "internal/object_reader.hpp"

#include <rattanbay/config/settings.hpp>

#include <algorithm>
#include <array>
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
constexpr std::uint64_t hour_ms = 3'600'000;
constexpr std::uint64_t max_arrival_ms = 600'000;
constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning", "error"};

/// Reports addresses that are used twice: two listeners cannot share one, and a peer or platform
/// address that is one of the daemon's own makes it talk to itself.
class address_check {
public:
    explicit address_check(std::vector<finding>& findings)
        : findings_(findings) {}

    void add(const base::address& value, const std::string& pointer) {
        const auto [it, is_new] = uses_.emplace(value, pointer);
        if (!is_new) {
            findings_.push_back({pointer, value.text() + " is already used at " + it->second +
                                              "; each address may occur once"});
        }
    }

private:
    std::vector<finding>& findings_;
    std::map<base::address, std::string> uses_;
};

base::address read_own_address(object_reader& reader, std::string_view key, address_check& uses) {
    const std::optional<base::address> value = reader.address(key);
    if (!value) {
        return {};
    }
    if (value->ip == std::array<std::uint8_t, 4>{}) {
        reader.report(key, "has to be an address that others can connect to, not 0.0.0.0");
    }
    uses.add(*value, reader.pointer_to(key));
    return *value;
}

std::vector<base::address> read_addresses(object_reader& reader, std::string_view key, std::size_t min_size,
                                          address_check& uses) {
    const std::vector<std::optional<base::address>> values = reader.addresses(key, min_size);
    std::vector<base::address> out;
    for (std::size_t n = 0; n < values.size(); ++n) {
        if (values[n]) {
            uses.add(*values[n], internal::child_pointer(reader.pointer_to(key), n));
            out.push_back(*values[n]);
        }
    }
    return out;
}

/// All daemons may share one list of seeds, so that a daemon may be a seed of itself.
std::vector<base::address> read_seeds(object_reader& reader, const base::address& own, address_check& uses) {
    std::vector<base::address> out;
    const std::vector<std::optional<base::address>> values = reader.addresses("seed_peers", 0);
    for (std::size_t n = 0; n < values.size(); ++n) {
        if (values[n] && *values[n] != own) {
            uses.add(*values[n], internal::child_pointer(reader.pointer_to("seed_peers"), n));
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
    read_duration(reader, "request_arrival_ms", 1, max_arrival_ms, out.request_arrival);
    read_duration(reader, "entries_max_age_ms", 1, hour_ms, out.entries_max_age);
    read_duration(reader, "drain_limit_ms", 0, hour_ms, out.drain_limit);
    out.log_level = reader.text("log_level", presence::optional).value_or(out.log_level);
    if (std::ranges::find(log_levels, out.log_level) == log_levels.end()) {
        reader.report("log_level", "has to be one of debug, info, warning, error");
    }
}

/// Bounds of the relay section.
constexpr double max_ratio = 10;
constexpr double max_extra = 1'000'000;

relay_settings read_relay_settings(object_reader& reader, address_check& uses) {
    relay_settings out;
    out.readiness_address = read_own_address(reader, "readiness_address", uses);
    out.entries_address = read_own_address(reader, "entries_address", uses);
    out.resends.ratio =
        reader.number("resend_ratio", 0, max_ratio, presence::optional).value_or(out.resends.ratio);
    out.resends.extra =
        reader.number("resend_extra", 0, max_extra, presence::optional).value_or(out.resends.extra);
    read_duration(reader, "resend_window_ms", 1, hour_ms, out.resends.window);
    read_duration(reader, "stop_accepting_ms", 0, hour_ms, out.stop_accepting);
    read_duration(reader, "relisting_ms", 0, hour_ms, out.relisting);
    reader.report_unknown_keys();
    return out;
}

void read_secret(object_reader& reader, settings& out) {
    const std::optional<std::string> secret = reader.text("cluster_secret");
    if (secret && secret->size() < min_secret_size) {
        reader.report("cluster_secret",
                      "has to have at least " + std::to_string(min_secret_size) + " characters");
    }
    out.cluster_secret = secret.value_or("");
}

} // namespace

checked<settings> settings::parse(std::string_view text) {
    internal::parsed_text parsed = internal::parse_text(text);
    std::vector<finding>& findings = parsed.findings;
    if (!parsed.well_formed) {
        return tl::unexpected(std::move(findings));
    }
    settings out;
    object_reader reader(parsed.value, "", findings);
    address_check uses(findings);
    out.environment = reader.name("environment").value_or("");
    out.vm = base::vm_id(reader.name("vm").value_or(""));
    out.failure_domain = base::failure_domain(reader.name("failure_domain").value_or(""));
    out.caller_address = read_own_address(reader, "caller_address", uses);
    out.peer_address = read_own_address(reader, "peer_address", uses);
    out.operator_address = read_own_address(reader, "operator_address", uses);
    out.platform_addresses = read_addresses(reader, "platform_addresses", 1, uses);
    out.seed_peers = read_seeds(reader, out.peer_address, uses);
    read_secret(reader, out);
    read_limits(reader, out);
    const nlohmann::json* const relay = reader.member("relay", presence::optional);
    if (relay != nullptr) {
        object_reader section(*relay, reader.pointer_to("relay"), findings);
        out.relay = read_relay_settings(section, uses);
    }
    reader.report_unknown_keys();
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return out;
}

checked<settings> settings::read(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return tl::unexpected(std::vector<finding>{{"", "the file cannot be read"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    checked<settings> parsed = parse(text.str());
    if (parsed) {
        parsed->source = path;
    }
    return parsed;
}

} // namespace rattanbay::config
