#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/finding.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Bounds on what all daemons together repeat at one service.
struct resend_limits {
    /// Attempts beyond the first of each request, as a share of the requests in the window.
    double ratio = 0.2;
    base::duration window = std::chrono::seconds(10);
    /// Attempts beyond that share, over all daemons.
    double extra = 0;
};

/// Settings of a daemon that relays requests unchanged.
struct relay_settings {
    /// Where the platform asks whether the daemon is ready.
    base::address readiness_address;
    /// Where callers ask which daemons to use.
    base::address entries_address;
    resend_limits resends;
    /// After the begin of a planned stop, how long new requests are still accepted.
    base::duration stop_accepting = std::chrono::milliseconds(2500);
    /// How long an endpoint whose entry lapsed while the platform was away may stay unlisted after
    /// the platform's return.
    base::duration relisting = std::chrono::milliseconds(2500);
};

/// Settings of one daemon: all that it knows at start.
struct settings {
    /// Environment whose document the daemon serves, for example "production".
    std::string environment;
    base::vm_id vm;
    base::failure_domain failure_domain;
    /// Where callers connect.
    base::address caller_address;
    /// Where other daemons connect.
    base::address peer_address;
    /// Where operators connect.
    base::address operator_address;
    std::vector<base::address> platform_addresses;
    std::vector<base::address> seed_peers;
    /// Shared by all daemons of an environment; at least 16 characters.
    std::string cluster_secret;
    /// Threads for requests; the control work has one more.
    std::size_t threads = 2;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Time for a whole request to arrive.
    base::duration request_arrival = std::chrono::seconds(10);
    /// How long callers keep the list of entry addresses.
    base::duration entries_max_age = std::chrono::seconds(10);
    /// Longest time a planned stop waits for requests in progress.
    base::duration drain_limit = std::chrono::seconds(60);
    /// One of "debug", "info", "warning", "error".
    std::string log_level = "info";

    /// Set when the daemon relays requests; it then serves no pipelines and keeps no ledger.
    std::optional<relay_settings> relay;

    /// File that the settings were read from; empty when they come from elsewhere.
    std::string source;

    /// Parses and checks the text of a settings file (JSON with comments).
    static checked<settings> parse(std::string_view text);

    /// Reads, parses and checks a settings file.
    static checked<settings> read(const std::string& path);
};

} // namespace rattanbay::config
