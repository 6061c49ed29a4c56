#pragma once

#include "control.hpp"
#include "shared_state.hpp"

#include <rattanbay/http/server.hpp>

#include <functional>
#include <memory>

namespace rattanbay::daemon::internal {

/// Handles requests to the operator address: status, entry list, time line, metrics and planned stop.
class operator_handler {
public:
    operator_handler(shared_state& shared, std::shared_ptr<control_plane> control_plane,
                     std::function<void()> begin_drain);

    asio::awaitable<void> handle(const http::request& message, http::responder& responder);

private:
    http::response route(const http::request& message);
    http::response status() const;
    http::response timeline(const std::string& target) const;

    shared_state& shared_;
    std::shared_ptr<control_plane> control_plane_;
    std::function<void()> begin_drain_;
};

} // namespace rattanbay::daemon::internal
