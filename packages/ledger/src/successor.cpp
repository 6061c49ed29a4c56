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

using internal::record_part;

/// Consecutive held up calls after which new requests are not made to wait. One conflict or lost
/// answer is ordinary.
constexpr unsigned failures_until_refusal = 2;

ledger::reply unknown(base::problem_kind kind, std::string detail) {
    return base::problem{kind, base::outcome::unknown, std::move(detail)};
}

} // namespace

class successor::state {
public:
    state(base::random_source random, successor_options options)
        : random_(random)
        , options_(options)
        , cache_(options.cache_bytes) {}

    std::vector<successor_action> handle(const successor_event& happened, base::time_point now) {
        now_ = now;
        expire();
        std::visit([this](const auto& event) { on(event); }, happened);
        make_due_calls();
        return std::exchange(actions_, {});
    }

    base::time_point next_wakeup() const {
        base::time_point due = base::time_point::max();
        for (const auto& [part, job] : jobs_) {
            if (job.next_try > now_) {
                due = std::min(due, job.next_try);
            }
        }
        return deadlines_.empty() ? due : std::min(due, deadlines_.begin()->first);
    }

private:
    /// The seal of one owner and the requests that wait for it.
    struct running_job {
        internal::seal_job seal;
        internal::backoff backoff;
        base::time_point next_try;
        std::map<waiter_id, keyed_request> waiting;
    };

    struct call_in_flight {
        record_part part;
        object_api::call asked;
    };

    void on(const owner_lost& event) {
        const keyed_request& request = event.request;
        const record_part part{request.key.prefix.incarnation, request.key.prefix.window};
        if (const internal::sealed_record* record = cache_.use(part)) {
            send(request.waiter, record->reply_to(request));
            return;
        }
        if (request.deadline <= now_) {
            send(request.waiter, deadline_passed());
            return;
        }
        auto it = jobs_.find(part);
        if (it == jobs_.end()) {
            it = jobs_
                     .emplace(part,
                              running_job{{part.ledger, part.window, options_.parallel_reads}, {}, now_, {}})
                     .first;
        }
        if (it->second.backoff.failures() >= failures_until_refusal) {
            send(request.waiter, unreachable("the record of the VM that the key names cannot be read"));
            return;
        }
        it->second.waiting.emplace(request.waiter, request);
        deadlines_.emplace(request.deadline, std::pair(part, request.waiter));
    }

    void on(const call_answered& event) {
        const auto it = calls_.find(event.call);
        if (it == calls_.end()) {
            return;
        }
        const call_in_flight call = std::move(it->second);
        calls_.erase(it);
        const auto job = jobs_.find(call.part);
        if (job != jobs_.end()) {
            advance(job, job->second.seal.answered(call.asked, event.answer));
        }
    }

    void on(const woken& /*event*/) {}

    using job_iterator = std::map<record_part, running_job>::iterator;

    void advance(job_iterator job, internal::seal_progress progress) {
        switch (progress) {
        case internal::seal_progress::going_on:
            job->second.backoff.succeed();
            break;
        case internal::seal_progress::held_up:
            hold_up(job);
            break;
        case internal::seal_progress::sealed: {
            internal::sealed_record record = job->second.seal.take_record();
            for (const auto& [waiter, request] : job->second.waiting) {
                send(waiter, record.reply_to(request));
            }
            cache_.keep(job->first, std::move(record));
            end(job);
            break;
        }
        case internal::seal_progress::unusable:
            for (const auto& [waiter, request] : job->second.waiting) {
                send(waiter, unreachable("the VM that the key names left no usable record"));
            }
            end(job);
            break;
        }
    }

    void hold_up(job_iterator job) {
        const base::duration pause = job->second.backoff.fail(random_);
        // The first hold-up is mostly a commit of the owner in between, or a lost answer.
        job->second.next_try = job->second.backoff.failures() == 1 ? now_ : now_ + pause;
    }

    void end(job_iterator job) {
        for (const auto& [waiter, request] : job->second.waiting) {
            deadlines_.erase({request.deadline, {job->first, waiter}});
        }
        std::erase_if(calls_, [job](const auto& call) { return call.second.part == job->first; });
        jobs_.erase(job);
    }

    void expire() {
        while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
            const auto [part, waiter] = deadlines_.begin()->second;
            deadlines_.erase(deadlines_.begin());
            jobs_.at(part).waiting.erase(waiter);
            send(waiter, deadline_passed());
        }
        // A seal that nobody waits for is finished while the platform works, for later requests.
        for (auto it = jobs_.begin(); it != jobs_.end();) {
            const auto job = it++;
            if (job->second.waiting.empty() && job->second.backoff.failures() > 0 &&
                job->second.next_try <= now_) {
                end(job);
            }
        }
    }

    void make_due_calls() {
        const running_job* first = nullptr;
        base::incarnation first_ledger;
        for (auto& [part, job] : jobs_) {
            // One seal per owner: other windows of the ledger follow when it is sealed.
            if (first != nullptr && first_ledger == part.ledger && !first->seal.is_sealed()) {
                continue;
            }
            first = &job;
            first_ledger = part.ledger;
            if (job.next_try > now_) {
                continue;
            }
            while (std::optional<object_api::call> call = job.seal.next_call()) {
                calls_.emplace(next_call_, call_in_flight{part, *call});
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

    void send(waiter_id waiter, ledger::reply given) {
        actions_.emplace_back(send_reply{waiter, std::move(given)});
    }

    base::random_source random_;
    successor_options options_;
    base::time_point now_;
    internal::sealed_record_cache cache_;
    std::map<record_part, running_job> jobs_;
    std::map<call_id, call_in_flight> calls_;
    std::set<std::pair<base::time_point, std::pair<record_part, waiter_id>>> deadlines_;
    call_id next_call_ = 1;
    std::vector<successor_action> actions_;
};

successor::successor(base::random_source random, successor_options options)
    : state_(std::make_unique<state>(random, options)) {}

successor::successor(successor&&) noexcept = default;
successor& successor::operator=(successor&&) noexcept = default;
successor::~successor() = default;

std::vector<successor_action> successor::handle(const successor_event& happened, base::time_point now) {
    return state_->handle(happened, now);
}

base::time_point successor::next_wakeup() const {
    return state_->next_wakeup();
}

} // namespace rattanbay::ledger
