#pragma once

#include "daemon_resources.hpp"
#include "open_calls.hpp"
#include "open_runs.hpp"

#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/config.hpp>
#include <rattanbay/http/connection_pool.hpp>
#include <rattanbay/http/response_memory.hpp>
#include <rattanbay/relay.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattanbay::daemon::internal {

/// Immutable state used to serve relayed requests; replaced as a whole when a document is adopted.
struct relay_serving_state {
    std::uint64_t revision = 0;
    std::shared_ptr<const relay::route_table> routes;
    std::map<base::service_name, std::shared_ptr<relay::resend_budget>> resend_budgets;

    /// Settings of the service, or null if the document does not contain it.
    const config::relay_service* find(const base::service_name& service) const;
};

/// What an attempt of a stream with a prompt shows about the speed of its engine.
struct stream_observation {
    base::endpoint_id endpoint;
    std::string route;
    /// Time to the first event, or to the end of an attempt that had none.
    base::duration first_event{};
    /// Mean time per later event, if there were any.
    std::optional<base::duration> time_per_event;
    double relative_size = 1;
};

/// State of the relay that is shared by all request threads.
struct relay_state {
    relay_state(config::relay_settings relay_settings, const base::failure_domain& local_domain,
                std::shared_ptr<const relay::protocol> client_protocol, daemon_resources& resources,
                std::uint64_t seed);

    /// Publishes the serving state of a document with a relay section; called on the control strand.
    void adopt(const std::shared_ptr<const config::environment_document>& document);

    /// Takes over a changed VM list: closes kept connections to endpoints that have been replaced or are
    /// listed no more, and ends the calls that are in progress at those that were replaced.
    void update_endpoints(const object_api::vm_list& vms);

    /// Active software versions of the services whose streams may be taken up again; nothing before the first
    /// document is adopted.
    std::optional<std::map<base::service_name, std::set<std::string>>>
    versions_of_streams(base::time_point now) const;

    /// Records that no connection to the endpoint could be opened.
    void record_unreachable(const base::endpoint_id& endpoint);

    /// Records that another endpoint answered at the address of this one, which has ended.
    void record_misdirected(const relay::chosen_endpoint& endpoint);

    /// Records what an endpoint's response says about further requests: none as it is leaving, none for a
    /// while, or a limited number.
    void record_endpoint_wishes(const base::endpoint_id& endpoint,
                                const relay::endpoint_response_header& header);

    const config::relay_settings settings;
    const std::shared_ptr<const relay::protocol> protocol;
    /// Empty until the first document is adopted.
    base::snapshot<relay_serving_state> serving;
    relay::balancer balancer;
    http::connection_pool pool;
    /// Memory of the responses of endpoints.
    http::response_memory& responses;
    relay::part_quarantine quarantine;
    /// Where the streams began that this daemon or another one that told it relayed.
    relay::stream_origins origins;
    /// Software versions that may have begun a stream that is still alive.
    relay::service_versions versions;
    /// Calls in progress at endpoints.
    const std::shared_ptr<open_calls> calls = std::make_shared<open_calls>();
    /// Called with the client limits of each adopted document; set before the first one is adopted.
    std::function<void(const config::client_limits&)> on_client_limits;
    /// Called with the limit on requests that an endpoint names in an answer, or nothing if it names none.
    /// Set before the first request; called from any thread.
    std::function<void(const base::endpoint_id&, std::optional<double>)> on_request_limit;
    /// Called at the end of an attempt of a stream with a prompt. Set before the first request; called from
    /// any thread.
    std::function<void(stream_observation)> on_stream;
    /// Whether the record of software versions has been read since the start, and since this daemon was last
    /// isolated or paused, so that the versions from before are known.
    std::atomic<bool> knows_former_versions{false};
    /// Makes all software versions active that the store lists now. Returns whether the store answered. Set
    /// before the first request; called from any thread.
    std::function<boost::asio::awaitable<bool>()> read_listed_versions;
    /// Number of live daemons that take requests; at least 1.
    std::atomic<std::size_t> live_daemons{1};
    /// Time by which the daemon has to have answered all requests, as it is stopped; the maximum otherwise.
    std::atomic<base::time_point> stop_deadline{base::time_point::max()};
    /// Requests in progress, which get a final answer when the stop deadline comes.
    const std::shared_ptr<open_runs> open_requests = std::make_shared<open_runs>();
    /// Whether new requests are rejected because the daemon is shutting down.
    std::atomic<bool> rejecting_requests{false};
};

} // namespace rattanbay::daemon::internal
