#pragma once

#include "piece_router.hpp"
#include "relay_run.hpp"
#include "shared_state.hpp"

#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace rattanbay::daemon::internal {

/// Answers what comes from outside to a daemon that relays: clients' requests, the question which
/// daemons to use, and the question for readiness.
class relay_handler {
public:
    relay_handler(shared_state& shared, std::shared_ptr<piece_router> pieces);

    /// Relays a request.
    asio::awaitable<void> handle(const http::request& message, http::responder& out);

    /// Answers which daemons to use.
    asio::awaitable<void> handle_entries(const http::request& message, http::responder& out);

    /// Answers whether this daemon takes requests.
    asio::awaitable<void> handle_readiness(const http::request& message, http::responder& out);

private:
    /// Sets the route of a request, or returns why it has none.
    std::optional<http::response> find_route(relay_input& input) const;
    /// Sets the account and the urgency of a request with a route, or returns why it is refused.
    std::optional<http::response> find_account(relay_input& input) const;
    http::response refusal(const base::request_id& id, base::problem_kind kind, std::string detail) const;

    shared_state& shared_;
    relay_state& relay_;
    std::shared_ptr<piece_router> pieces_;
};

} // namespace rattanbay::daemon::internal
