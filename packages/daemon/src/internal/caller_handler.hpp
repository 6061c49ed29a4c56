#pragma once

#include "admission_gate.hpp"
#include "control.hpp"
#include "shared_state.hpp"

#include <rattanbay/caller.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace rattanbay::daemon::internal {

/// Handles requests of callers: entry list, health checks and runs of pipelines.
class caller_handler {
public:
    caller_handler(shared_state& shared, admission_gate& gate, std::shared_ptr<control_plane> control_plane);

    asio::awaitable<void> handle(const http::request& message, http::responder& responder);

private:
    /// A run request and the state needed to serve it.
    struct run_context {
        caller::run_request run_request;
        const config::account* account = nullptr;
        std::shared_ptr<const serving_state> serving;
        base::time_point arrival;
    };

    asio::awaitable<void> handle_run(const http::request& message, http::responder& responder);
    asio::awaitable<void> send_rejection(base::request_id id, base::problem problem,
                                         http::responder& responder);
    asio::awaitable<void> run_authenticated(const run_context& context, const http::request& message,
                                            http::responder& responder);
    asio::awaitable<void> run_keyed(const run_context& context, ledger::key key, const http::request& message,
                                    http::responder& responder);
    asio::awaitable<void> run_unkeyed(const run_context& context, const config::pipeline& pipeline_config,
                                      http::responder& responder);
    asio::awaitable<run_result> run_pipeline(const run_context& context,
                                             const config::pipeline& pipeline_config,
                                             base::time_point deadline, http::responder& responder);
    asio::awaitable<void> send_result(const run_context& context, run_result result,
                                      http::responder& responder);
    asio::awaitable<void> send_problem(const run_context& context, base::problem problem,
                                       http::responder& responder);

    shared_state& shared_;
    admission_gate& admission_gate_;
    std::shared_ptr<control_plane> control_plane_;
};

} // namespace rattanbay::daemon::internal
