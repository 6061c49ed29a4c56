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

/// Makes requests wait until `limits::admission_controller` starts or refuses them. Thread-safe.
class admission_gate {
public:
    admission_gate()
        : controller_(initial_max_running, queue_size_factor * initial_max_running) {}

    void configure(std::size_t max_running);

    /// Waits for a slot. Returns false if the request is refused. The identifier must not be in use.
    asio::awaitable<bool> acquire(asio::any_io_executor executor, base::request_id id,
                                  base::account_id account, base::time_point deadline,
                                  base::duration min_run_time);

    /// Releases the slot of an admitted request.
    void release(const base::request_id& id);

private:
    /// Limit of running requests until a document is adopted.
    static constexpr std::size_t initial_max_running = 64;
    /// Ratio of the maximum number of waiting requests to that of running requests.
    static constexpr std::size_t queue_size_factor = 4;

    struct waiting_request {
        asio::any_io_executor executor;
        std::shared_ptr<asio::steady_timer> wakeup;
        std::shared_ptr<int> decision;
    };

    void apply(const limits::admission_decisions& decisions);
    void resume(const base::request_id& id, bool admitted);

    limits::admission_controller controller_;
    std::mutex mutex_;
    std::map<base::request_id, waiting_request> waiting_;
};

} // namespace rattanbay::daemon::internal
