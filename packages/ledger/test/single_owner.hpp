#pragma once

#include "fake_platform.hpp"

#include <rattanbay/ledger.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace rattanbay::ledger::test {

/// One owner without faults but for an outage of the platform, in simulated time: a platform that
/// answers after 3 ms and runs that take 15 ms. For limits and figures.
class single_owner {
public:
    static constexpr base::duration platform_time = std::chrono::milliseconds(3);
    static constexpr base::duration run_time = std::chrono::milliseconds(15);

    single_owner(owner_options options, std::size_t answer_bytes)
        : answer_bytes_(answer_bytes)
        , owner_(std::move(options), base::random_source(1), now_) {
        step(timer_expired{});
    }

    /// Sends a booking with a prefix of the given class, or of the current one.
    void book(std::optional<record_class> recording = std::nullopt) {
        key_prefix prefix = owner_.current_prefix();
        prefix.recording = recording.value_or(prefix.recording);
        const waiter_id number = arrivals_.size();
        arrivals_.push_back(now_);
        step(request_arrived{{number,
                              base::account_id("planners"),
                              {prefix, "order-" + std::to_string(number)},
                              base::fast_hash("body"),
                              now_ + std::chrono::seconds(5)}});
    }

    void run_until(base::time_point end) {
        while (true) {
            const base::time_point due = std::max(owner_.next_wakeup(), now_);
            if (!events_.empty() && events_.top().at <= std::min(due, end)) {
                const pending first = events_.top();
                events_.pop();
                now_ = first.at;
                step(first.event);
            } else if (due <= end) {
                now_ = due;
                step(timer_expired{});
            } else {
                now_ = end;
                return;
            }
        }
    }

    void run_for(base::duration time) { run_until(now_ + time); }

    void set_platform_down(bool down) { platform_down_ = down; }

    const ledger::owner& owner() const { return owner_; }

    const fake_platform& platform() const { return platform_; }

    base::time_point now() const { return now_; }

    /// Time from the arrival of each run's request to its start, in ms.
    const std::vector<double>& waits() const { return waits_; }

    const std::vector<ledger::reply>& replies() const { return replies_; }

    /// Moments at which head commits were sent.
    const std::vector<base::time_point>& commits() const { return commits_; }

    std::size_t most_calls_in_flight() const { return most_in_flight_; }

    /// Processor time inside the owner.
    std::chrono::steady_clock::duration spent() const { return spent_; }

private:
    struct pending {
        base::time_point at;
        std::uint64_t order = 0;
        owner_event event;

        friend bool operator<(const pending& a, const pending& b) {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void step(const owner_event& event) {
        const auto begin = std::chrono::steady_clock::now();
        const std::vector<owner_action> actions = owner_.handle(event, now_);
        spent_ += std::chrono::steady_clock::now() - begin;
        in_flight_ -= std::holds_alternative<call_answered>(event) ? 1U : 0U;
        for (const owner_action& action : actions) {
            if (const auto* call = std::get_if<make_call>(&action)) {
                answer(*call);
            } else if (const auto* start = std::get_if<start_run>(&action)) {
                waits_.push_back(base::to_milliseconds(now_ - arrivals_[start->request.waiter]));
                push(run_time, run_ended{start->run, ledger::response{200, std::string(answer_bytes_, 'a')}});
            } else if (const auto* reply = std::get_if<send_reply>(&action)) {
                replies_.push_back(reply->reply);
            }
        }
    }

    void answer(const make_call& call) {
        ++in_flight_;
        most_in_flight_ = std::max(most_in_flight_, in_flight_);
        const auto* write = std::get_if<object_api::write_object>(&call.request);
        if (write != nullptr && write->key.kind == "ledgers") {
            commits_.push_back(now_);
        }
        const object_api::answer given = platform_down_
                                             ? object_api::failed{{base::error_code::unavailable, "down"}}
                                             : platform_.apply(call.request, std::nullopt);
        push(platform_time, call_answered{call.call, given});
    }

    void push(base::duration delay, owner_event event) {
        events_.push({now_ + delay, order_++, std::move(event)});
    }

    std::size_t answer_bytes_;
    base::time_point now_{std::chrono::hours(1)};
    fake_platform platform_;
    bool platform_down_ = false;
    std::priority_queue<pending> events_;
    std::uint64_t order_ = 0;
    std::vector<base::time_point> arrivals_;
    std::vector<double> waits_;
    std::vector<ledger::reply> replies_;
    std::vector<base::time_point> commits_;
    std::size_t in_flight_ = 0;
    std::size_t most_in_flight_ = 0;
    std::chrono::steady_clock::duration spent_{};
    ledger::owner owner_;
};

} // namespace rattanbay::ledger::test
