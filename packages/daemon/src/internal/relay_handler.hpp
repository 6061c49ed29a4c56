#pragma once

#include "piece_router.hpp"
#include "quarantine_exchange.hpp"
#include "relay_run.hpp"
#include "shared_state.hpp"

#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace rattanbay::daemon::internal {

/// Handles the HTTP requests to a daemon that relays: client requests, queries for the daemons to use, and
/// readiness probes.
class relay_handler {
public:
    relay_handler(shared_state& shared, std::shared_ptr<piece_router> router,
                  std::shared_ptr<quarantine_exchange> quarantine,
                  std::shared_ptr<stream_origin_exchange> origins);

    /// Relays a client request and takes its body.
    asio::awaitable<void> handle(http::request& message, http::responder& out);

    /// Handles a query for the daemons to use.
    asio::awaitable<void> handle_entries(const http::request& message, http::responder& out);

    /// Handles a readiness probe.
    asio::awaitable<void> handle_readiness(const http::request& message, http::responder& out);

private:
    /// Sets the route of a request, or returns the error response if it has none.
    std::optional<http::response> find_route(relay_input& input) const;
    /// Rejects a request that may not end before this daemon does, so that its client can go to another one.
    std::optional<http::response> check_stop_deadline(const relay_input& input, http::responder& out) const;
    /// Sets the account and urgency of a request with a route, or returns the error response if its key is
    /// missing or unknown.
    std::optional<http::response> authenticate(relay_input& input) const;
    /// Logs a rejected request and builds its error response.
    http::response problem_response(const base::request_id& id, base::problem_kind kind, std::string detail,
                                    std::optional<base::duration> retry_delay = std::nullopt) const;

    shared_state& shared_;
    relay_state& relay_;
    std::shared_ptr<piece_router> piece_router_;
    std::shared_ptr<quarantine_exchange> quarantine_;
    std::shared_ptr<stream_origin_exchange> origins_;
};

} // namespace rattanbay::daemon::internal
