#pragma once

#include "daemon_resources.hpp"
#include "relay_state.hpp"

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/config.hpp>
#include <rattanbay/daemon/daemon.hpp>
#include <rattanbay/http/connection_pool.hpp>
#include <rattanbay/http/response_memory.hpp>
#include <rattanbay/limits.hpp>
#include <rattanbay/peer/member_record.hpp>
#include <rattanbay/routing.hpp>
#include <rattanbay/telemetry.hpp>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

namespace asio = boost::asio;

/// Immutable state used to serve requests; replaced as a whole when a document is adopted.
struct serving_state {
    /// Null until the first document is adopted.
    std::shared_ptr<const config::environment_document> document;
    std::map<base::service_name, std::shared_ptr<limits::retry_budget>> retry_budgets;
};

/// Snapshot of the member table.
struct member_view {
    std::vector<peer::member_record> members;
};

/// State that the control strand updates and request threads read.
struct shared_state {
    /// Without budgets, those that follow from the settings are made.
    shared_state(asio::io_context& io, config::settings daemon_settings, base::incarnation incarnation_id,
                 platform_protocols protocols, std::shared_ptr<daemon_resources> budgets = nullptr);

    /// Returns a distinct seed for a new random source.
    std::uint64_t next_seed() { return seed_counter.fetch_add(0x9E3779B97F4A7C15ULL); }

    /// Returns a suffix for request identifiers that is unique across processes.
    std::string unique_suffix();

    /// Records a timeline event of a request, or of the daemon if `request` is empty.
    void record(const base::request_id& request, telemetry::timeline_event event,
                telemetry::event_fields fields);

    /// Reason for which requests are currently rejected, or nothing if they are served.
    std::optional<std::string> refusal_reason() const;

    asio::io_context& context;
    const config::settings settings;
    const base::incarnation id;
    const platform_protocols protocols;
    base::snapshot<serving_state> serving;
    base::snapshot<member_view> members;
    base::snapshot<object_api::vm_list> vms;
    /// Time of the last answer of the platform about the VM list.
    std::atomic<base::time_point> vms_confirmed_at{base::time_point()};
    routing::router router;
    limits::account_limits account_limits;
    const std::shared_ptr<daemon_resources> resources;
    http::connection_pool endpoint_pool;
    http::response_memory& responses;
    telemetry::timeline timeline;
    telemetry::metrics metrics;
    std::atomic<std::uint64_t> seed_counter;
    /// Null unless the daemon relays requests.
    std::unique_ptr<relay_state> relay;
    std::atomic<std::uint64_t> request_counter{0};
    std::atomic<std::uint32_t> requests_in_progress{0};
    /// Highest revision of a document that was offered or announced. Above the revision in force while a
    /// document is being fetched, or for good if it was rejected.
    std::atomic<std::uint64_t> highest_revision{0};
    std::atomic<bool> draining{false};
    /// Whether neither the platform nor a peer was reachable for longer than the isolation timeout.
    std::atomic<bool> isolated{false};
    /// Whether the document has yet to be verified after a pause of the process or an isolation.
    std::atomic<bool> verifying{false};
};

} // namespace rattanbay::daemon::internal
