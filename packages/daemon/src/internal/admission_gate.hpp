#pragma once

#include <rattanbay/limits/admission.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace rattanbay::daemon::internal {

namespace asio = boost::asio;

/// Lets requests in by `limits::admission_controller`. Safe for use from several threads.
class admission_gate {
public:
    admission_gate()
        : admission_(initial_bound, queue_factor * initial_bound) {}

    void configure(std::size_t bound);

    /// Waits for a place; false when the request is refused. The identifier is not in use.
    asio::awaitable<bool> enter(asio::any_io_executor executor, base::request_id id, base::account_id account,
                                base::time_point deadline, base::duration needed);

    /// Gives the place of a request back that was let in.
    void leave(const base::request_id& id);

private:
    /// Bound before the first document.
    static constexpr std::size_t initial_bound = 64;
    /// Requests that may wait, as a multiple of those that may run.
    static constexpr std::size_t queue_factor = 4;

    struct waiting_request {
        asio::any_io_executor executor;
        std::shared_ptr<asio::steady_timer> decided;
        std::shared_ptr<int> verdict;
    };

    void apply(const limits::admission_decisions& decisions);
    void decide(const base::request_id& id, bool admitted);

    limits::admission_controller admission_;
    std::mutex mutex_;
    std::map<base::request_id, waiting_request> waiting_;
};

} // namespace rattanbay::daemon::internal
