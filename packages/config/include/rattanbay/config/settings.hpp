#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/finding.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Limits on retries at one service, summed over all daemons.
struct retry_budget_options {
    /// Allowed ratio of retries to requests within the window.
    double ratio = 0.2;
    base::duration window = std::chrono::seconds(10);
    /// Additional retries allowed in the window, over all daemons.
    double extra_attempts = 0;
};

/// Processor of a VM. Roles that schedule the work of other daemons are assigned by its capacity.
struct processor_settings {
    /// Share of a core that the VM may use.
    double core_share = 1;
    /// Speed of the core as a multiple of an ordinary one.
    double speed = 1;

    /// Capacity in hundredths of an ordinary core, at least 1.
    std::uint32_t capacity_percent() const;
};

/// Settings of a daemon that relays requests.
struct relay_settings {
    /// Listen address for the platform's readiness checks.
    base::address readiness_address;
    /// Listen address for callers' queries for the list of entry addresses.
    base::address entries_address;
    retry_budget_options retry_budget;
    /// Time after the start of a planned stop during which new requests are still accepted.
    base::duration accept_grace_period = std::chrono::milliseconds(2500);
    /// Time after the platform's recovery during which an endpoint stays in use though its entry expired
    /// during the outage.
    base::duration relisting_grace_period = std::chrono::milliseconds(2500);
    /// Time after which nothing more may be sent to an evacuated failure domain; unset if operators evacuate
    /// none.
    std::optional<base::duration> evacuation_bound;

    /// Factor and addition to the rate that a cold endpoint tolerates, which bound what all daemons together
    /// send to it in any one second. Both are set, or endpoints that are cold get requests like others.
    std::optional<double> cold_excess;
    std::optional<double> cold_slack;
};

/// Settings of one daemon.
struct settings {
    /// Environment whose document the daemon uses, for example "production".
    std::string environment;
    base::vm_id vm;
    base::failure_domain failure_domain;
    /// Listen address for callers.
    base::address caller_address;
    /// Listen address for other daemons.
    base::address peer_address;
    /// Listen address for operators.
    base::address operator_address;
    std::vector<base::address> platform_addresses;
    std::vector<base::address> seed_peers;
    /// Shared by all daemons of an environment; at least 16 characters.
    std::string cluster_secret;
    /// Threads that handle requests; control tasks run on one additional thread.
    std::size_t threads = 2;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Memory that the process may use.
    std::size_t memory_bytes = 256 * 1024 * 1024;
    /// Descriptors that the process may use; nothing if they are not bounded.
    std::optional<std::size_t> max_descriptors;
    /// Maximum time to receive a whole request.
    base::duration request_read_timeout = std::chrono::seconds(10);
    /// Time for which callers may cache the list of entry addresses.
    base::duration entries_max_age = std::chrono::seconds(10);
    /// Maximum time a planned stop waits for requests in progress.
    base::duration drain_timeout = std::chrono::seconds(60);
    /// One of "debug", "info", "warning", "error".
    std::string log_level = "info";
    processor_settings processor;

    /// Set if the daemon relays requests; it then serves no pipelines and keeps no ledger.
    std::optional<relay_settings> relay;

    /// File the settings were read from; empty if they come from another source.
    std::string source_path;

    /// Memory for what the daemon holds for others at any time: connections, requests, responses and messages
    /// of other daemons. The rest is for the program and its state, and an eighth for memory that the
    /// allocator keeps.
    std::size_t max_held_bytes() const;

    /// Maximum number of connections that the daemon keeps, in either direction: what is left of the
    /// descriptors for sockets, and of the memory for the state of connections.
    std::size_t max_connections() const;

    /// Memory for the responses that the daemon holds at any time: an eighth of its memory, as the strings
    /// that hold them may have twice the size while they grow.
    std::size_t max_held_response_bytes() const;

    /// Maximum size of one response of an endpoint.
    std::size_t max_response_bytes() const;

    /// Parses and validates the text of a settings file (JSON with comments).
    static validation_result<settings> parse(std::string_view text);

    /// Reads, parses and validates a settings file.
    static validation_result<settings> read(const std::string& path);
};

} // namespace rattanbay::config
