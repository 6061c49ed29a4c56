#include "internal/backoff.hpp"
#include "internal/seal_job.hpp"
#include "internal/sealed_record_cache.hpp"

#include <rattanbay/ledger/successor.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rattanbay::ledger {

namespace {

using internal::window_id;

/// Consecutive failures after which new requests are refused at once. A single conflict or lost answer is
/// expected in normal operation.
constexpr unsigned refusal_failure_threshold = 2;

ledger::reply unknown(base::problem_kind kind, std::string detail) {
    return base::problem{kind, base::outcome::unknown, std::move(detail)};
}

} // namespace

class successor::impl {
public:
    impl(base::random_source random, successor_options options)
        : random_(random)
        , options_(options)
        , cache_(options.max_cache_bytes) {}

    std::vector<successor_action> handle(const successor_event& event, base::time_point now) {
        now_ = now;
        expire_requests();
        std::visit([this](const auto& alternative) { handle_event(alternative); }, event);
        make_due_calls();
        return std::exchange(actions_, {});
    }

    base::time_point next_wakeup() const {
        base::time_point due = base::time_point::max();
        for (const auto& [id, job] : jobs_) {
            if (job.retry_time > now_) {
                due = std::min(due, job.retry_time);
            }
        }
        return deadlines_.empty() ? due : std::min(due, deadlines_.begin()->first);
    }

private:
    /// The seal job of one window and the requests that wait for it.
    struct running_job {
        internal::seal_job seal;
        internal::backoff backoff;
        base::time_point retry_time;
        std::map<waiter_id, keyed_request> waiting;
    };

    struct call_in_flight {
        window_id window;
        object_api::call request;
    };

    void handle_event(const owner_unreachable& event) {
        const keyed_request& request = event.request;
        const window_id id{request.key.prefix.incarnation, request.key.prefix.window};
        if (const internal::sealed_record* record = cache_.find(id)) {
            queue_reply(request.waiter, record->reply_to(request));
            return;
        }
        if (request.deadline <= now_) {
            queue_reply(request.waiter, deadline_passed());
            return;
        }
        auto it = jobs_.find(id);
        if (it == jobs_.end()) {
            it = jobs_
                     .emplace(
                         id, running_job{{id.ledger, id.window, options_.max_concurrent_reads}, {}, now_, {}})
                     .first;
        }
        if (it->second.backoff.failures() >= refusal_failure_threshold) {
            queue_reply(request.waiter,
                        unreachable("the record of the VM that the key names cannot be read"));
            return;
        }
        it->second.waiting.emplace(request.waiter, request);
        deadlines_.emplace(request.deadline, std::pair(id, request.waiter));
    }

    void handle_event(const call_answered& event) {
        const auto it = calls_.find(event.call);
        if (it == calls_.end()) {
            return;
        }
        const call_in_flight call = std::move(it->second);
        calls_.erase(it);
        const auto job = jobs_.find(call.window);
        if (job != jobs_.end()) {
            handle_progress(job, job->second.seal.handle_answer(call.request, event.answer));
        }
    }

    void handle_event(const timer_expired& /*event*/) {}

    using job_iterator = std::map<window_id, running_job>::iterator;

    void handle_progress(job_iterator job, internal::seal_progress progress) {
        switch (progress) {
        case internal::seal_progress::in_progress:
            job->second.backoff.reset();
            break;
        case internal::seal_progress::retry_needed:
            schedule_retry(job);
            break;
        case internal::seal_progress::sealed: {
            internal::sealed_record record = job->second.seal.take_record();
            for (const auto& [waiter, request] : job->second.waiting) {
                queue_reply(waiter, record.reply_to(request));
            }
            cache_.insert(job->first, std::move(record));
            remove_job(job);
            break;
        }
        case internal::seal_progress::unusable:
            for (const auto& [waiter, request] : job->second.waiting) {
                queue_reply(waiter, unreachable("the VM that the key names left no usable record"));
            }
            remove_job(job);
            break;
        }
    }

    void schedule_retry(job_iterator job) {
        const base::duration delay = job->second.backoff.next_delay(random_);
        // The first failure is usually a concurrent commit of the owner or a lost answer; retry at once.
        job->second.retry_time = job->second.backoff.failures() == 1 ? now_ : now_ + delay;
    }

    void remove_job(job_iterator job) {
        for (const auto& [waiter, request] : job->second.waiting) {
            deadlines_.erase({request.deadline, {job->first, waiter}});
        }
        std::erase_if(calls_, [job](const auto& call) { return call.second.window == job->first; });
        jobs_.erase(job);
    }

    void expire_requests() {
        while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
            const auto [id, waiter] = deadlines_.begin()->second;
            deadlines_.erase(deadlines_.begin());
            jobs_.at(id).waiting.erase(waiter);
            queue_reply(waiter, deadline_passed());
        }
        // A job without waiting requests continues, for later requests, as long as its calls succeed.
        for (auto it = jobs_.begin(); it != jobs_.end();) {
            const auto job = it++;
            if (job->second.waiting.empty() && job->second.backoff.failures() > 0 &&
                job->second.retry_time <= now_) {
                remove_job(job);
            }
        }
    }

    void make_due_calls() {
        const running_job* previous_job = nullptr;
        base::incarnation previous_ledger;
        for (auto& [id, job] : jobs_) {
            // Only one job seals a ledger; jobs for other windows of it start when it is sealed.
            if (previous_job != nullptr && previous_ledger == id.ledger && !previous_job->seal.is_sealed()) {
                continue;
            }
            previous_job = &job;
            previous_ledger = id.ledger;
            if (job.retry_time > now_) {
                continue;
            }
            while (std::optional<object_api::call> call = job.seal.next_call()) {
                calls_.emplace(next_call_, call_in_flight{id, *call});
                actions_.emplace_back(make_call{next_call_, std::move(*call)});
                ++next_call_;
            }
        }
    }

    static ledger::reply deadline_passed() {
        return unknown(base::problem_kind::deadline_exceeded,
                       "the deadline passed before the record of the key was read");
    }

    static ledger::reply unreachable(std::string detail) {
        return unknown(base::problem_kind::owner_unreachable, std::move(detail));
    }

    void queue_reply(waiter_id waiter, ledger::reply message) {
        actions_.emplace_back(send_reply{waiter, std::move(message)});
    }

    base::random_source random_;
    successor_options options_;
    base::time_point now_;
    internal::sealed_record_cache cache_;
    std::map<window_id, running_job> jobs_;
    std::map<call_id, call_in_flight> calls_;
    std::set<std::pair<base::time_point, std::pair<window_id, waiter_id>>> deadlines_;
    call_id next_call_ = 1;
    std::vector<successor_action> actions_;
};

successor::successor(base::random_source random, successor_options options)
    : impl_(std::make_unique<impl>(random, options)) {}

successor::successor(successor&&) noexcept = default;
successor& successor::operator=(successor&&) noexcept = default;
successor::~successor() = default;

std::vector<successor_action> successor::handle(const successor_event& event, base::time_point now) {
    return impl_->handle(event, now);
}

base::time_point successor::next_wakeup() const {
    return impl_->next_wakeup();
}

} // namespace rattanbay::ledger
