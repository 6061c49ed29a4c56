#include "internal/admission_gate.hpp"

#include "internal/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanbay::daemon::internal {

namespace {

constexpr int undecided = 0;
constexpr int admitted_verdict = 1;
constexpr int refused_verdict = 2;

} // namespace

void admission_gate::configure(std::size_t bound) {
    apply(admission_.configure(bound, queue_factor * bound));
}

asio::awaitable<bool> admission_gate::enter(asio::any_io_executor executor, base::request_id id,
                                            base::account_id account, base::time_point deadline,
                                            base::duration needed) {
    waiting_request entry{executor, std::make_shared<asio::steady_timer>(executor),
                          std::make_shared<int>(undecided)};
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        waiting_.emplace(id, entry);
    }
    apply(admission_.submit(id, account, deadline, now(), needed));
    // Verdicts are posted to this executor, so none can be missed between the check and the wait.
    boost::system::error_code ec;
    entry.decided->expires_at(to_steady(deadline));
    if (*entry.verdict == undecided) {
        co_await entry.decided->async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    if (*entry.verdict == undecided) {
        apply(admission_.expire(now()));
        apply(admission_.finish(id, now()));
        const std::lock_guard<std::mutex> lock(mutex_);
        waiting_.erase(id);
    }
    co_return *entry.verdict == admitted_verdict;
}

void admission_gate::leave(const base::request_id& id) {
    apply(admission_.finish(id, now()));
}

void admission_gate::apply(const limits::admission_decisions& decisions) {
    for (const base::request_id& id : decisions.start) {
        decide(id, true);
    }
    for (const base::request_id& id : decisions.refuse) {
        decide(id, false);
    }
}

void admission_gate::decide(const base::request_id& id, bool admitted) {
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
        *entry.verdict = admitted ? admitted_verdict : refused_verdict;
        entry.decided->cancel();
    });
}

} // namespace rattanbay::daemon::internal
