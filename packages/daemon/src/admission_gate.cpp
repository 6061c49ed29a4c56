#include "internal/admission_gate.hpp"

#include "internal/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

constexpr int decision_pending = 0;
constexpr int decision_admitted = 1;
constexpr int decision_refused = 2;

} // namespace

void admission_gate::configure(std::size_t max_running) {
    apply(controller_.configure(max_running, queue_size_factor * max_running));
}

asio::awaitable<bool> admission_gate::acquire(asio::any_io_executor executor, base::request_id id,
                                              base::account_id account, base::time_point deadline,
                                              base::duration min_run_time) {
    waiting_request entry{executor, std::make_shared<asio::steady_timer>(executor),
                          std::make_shared<int>(decision_pending)};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        waiting_.emplace(id, entry);
    }
    apply(controller_.submit(id, account, deadline, now(), min_run_time));
    // Decisions are posted to this executor, so none can arrive between the check and the wait.
    boost::system::error_code ec;
    entry.wakeup->expires_at(to_steady(deadline));
    if (*entry.decision == decision_pending) {
        co_await entry.wakeup->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (*entry.decision == decision_pending) {
        apply(controller_.expire(now()));
        apply(controller_.finish(id, now()));
        const std::lock_guard<std::mutex> lock(mutex_);
        waiting_.erase(id);
    }
    co_return *entry.decision == decision_admitted;
}

void admission_gate::release(const base::request_id& id) {
    apply(controller_.finish(id, now()));
}

void admission_gate::apply(const limits::admission_decisions& decisions) {
    for (const base::request_id& id : decisions.start) {
        resume(id, true);
    }
    for (const base::request_id& id : decisions.refuse) {
        resume(id, false);
    }
}

void admission_gate::resume(const base::request_id& id, bool admitted) {
    waiting_request entry;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = waiting_.find(id);
        if (it == waiting_.end()) {
            return;
        }
        entry = it->second;
        waiting_.erase(it);
    }
    asio::post(entry.executor, [entry, admitted]() {
        *entry.decision = admitted ? decision_admitted : decision_refused;
        entry.wakeup->cancel();
    });
}

} // namespace rattanbay::daemon::internal
