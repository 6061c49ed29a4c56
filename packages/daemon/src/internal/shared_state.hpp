#pragma once

#include "relay_state.hpp"

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/config.hpp>
#include <rattanbay/daemon/daemon.hpp>
#include <rattanbay/http/connection_pool.hpp>
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

/// What requests are served by: replaced as a whole when a document is adopted.
struct serving_state {
    /// Null until the first document is adopted.
    std::shared_ptr<const config::environment_document> document;
    std::map<base::service_name, std::shared_ptr<limits::retry_budget>> retry_budgets;
};

/// The daemons as the entry list names them.
struct member_view {
    std::vector<peer::member_record> members;
};

/// State of the daemon that request threads read while the control strand changes it.
struct shared_state {
    shared_state(asio::io_context& io, config::settings process_settings, base::incarnation own_id,
                 platform_protocols protocols);

    /// Seed for a random source of its own.
    std::uint64_t next_seed() { return seeds.fetch_add(0x9E3779B97F4A7C15ULL); }

    /// Identifier that no other request has, in this or another process.
    std::string unique_suffix();

    /// Records a time line event of a request, or of the daemon when `request` is empty.
    void record(const base::request_id& request, telemetry::timeline_event event,
                telemetry::event_fields fields);

    /// Why requests are not served now, or nothing.
    std::optional<std::string> refusal_reason() const;

    asio::io_context& context;
    const config::settings settings;
    const base::incarnation id;
    const platform_protocols protocols;
    base::snapshot<serving_state> serving;
    base::snapshot<member_view> members;
    base::snapshot<object_api::vm_list> vms;
    routing::router router;
    limits::account_limits account_limits;
    http::connection_pool endpoint_pool;
    telemetry::timeline timeline;
    telemetry::metrics metrics;
    std::atomic<std::uint64_t> seeds;
    /// Set when the daemon relays requests.
    std::unique_ptr<relay_state> relay;
    std::atomic<std::uint64_t> request_counter{0};
    std::atomic<std::uint32_t> requests_in_progress{0};
    std::atomic<bool> draining{false};
    /// Neither the platform nor a peer could be reached for a while.
    std::atomic<bool> isolated{false};
    /// The process was paused and has not verified its document since.
    std::atomic<bool> verifying{false};
};

} // namespace rattanbay::daemon::internal
