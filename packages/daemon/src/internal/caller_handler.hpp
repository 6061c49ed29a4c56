#pragma once

#include "admission_gate.hpp"
#include "control.hpp"
#include "shared_state.hpp"

#include <rattanbay/caller.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace rattanbay::daemon::internal {

/// Serves callers: entry addresses and runs of pipelines.
class caller_handler {
public:
    caller_handler(shared_state& shared, admission_gate& gate, std::shared_ptr<control> control);

    asio::awaitable<void> handle(const http::request& message, http::responder& out);

private:
    /// A request that passed authentication.
    struct accepted {
        caller::run_request parsed;
        const config::account* account = nullptr;
        std::shared_ptr<const serving_state> serving;
        base::time_point arrival;
    };

    asio::awaitable<void> run(const http::request& message, http::responder& out);
    asio::awaitable<void> reject(base::request_id id, base::problem problem, http::responder& out);
    asio::awaitable<void> run_accepted(const accepted& work, const http::request& message,
                                       http::responder& out);
    asio::awaitable<void> run_keyed(const accepted& work, ledger::key key, const http::request& message,
                                    http::responder& out);
    asio::awaitable<void> run_plain(const accepted& work, const config::pipeline& plan, http::responder& out);
    asio::awaitable<run_result> drive(const accepted& work, const config::pipeline& plan,
                                      base::time_point deadline, http::responder& out);
    asio::awaitable<void> answer(const accepted& work, run_result result, http::responder& out);
    asio::awaitable<void> refuse(const accepted& work, base::problem problem, http::responder& out);

    shared_state& shared_;
    admission_gate& gate_;
    std::shared_ptr<control> control_;
};

} // namespace rattanbay::daemon::internal
