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

/// Simulates one owner with a platform that answers after 3 ms and runs that take 15 ms. The only possible
/// fault is an outage of the platform. Used to test limits and to measure costs.
class single_owner {
public:
    static constexpr base::duration platform_latency = std::chrono::milliseconds(3);
    static constexpr base::duration run_duration = std::chrono::milliseconds(15);

    single_owner(owner_options options, std::size_t response_bytes)
        : response_bytes_(response_bytes)
        , owner_(std::move(options), base::random_source(1), now_) {
        process_event(timer_expired{});
    }

    /// Sends a booking with a prefix of the given class, or of the class of the current prefix.
    void send_booking(std::optional<record_class> recording = std::nullopt) {
        key_prefix prefix = owner_.current_prefix();
        prefix.recording = recording.value_or(prefix.recording);
        const waiter_id number = arrival_times_.size();
        arrival_times_.push_back(now_);
        process_event(request_arrived{{number,
                                       base::account_id("planners"),
                                       {prefix, "order-" + std::to_string(number)},
                                       base::fast_hash("body"),
                                       now_ + std::chrono::seconds(5)}});
    }

    void run_until(base::time_point end) {
        while (true) {
            const base::time_point due = std::max(owner_.next_wakeup(), now_);
            if (!events_.empty() && events_.top().at <= std::min(due, end)) {
                const scheduled_event next = events_.top();
                events_.pop();
                now_ = next.at;
                process_event(next.event);
            } else if (due <= end) {
                now_ = due;
                process_event(timer_expired{});
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

    /// Time from the arrival of a request to the start of its run in milliseconds, for each run.
    const std::vector<double>& start_delays_ms() const { return start_delays_ms_; }

    const std::vector<ledger::reply>& replies() const { return replies_; }

    /// Times at which commits of the head were sent.
    const std::vector<base::time_point>& commit_times() const { return commit_times_; }

    std::size_t max_calls_in_flight() const { return max_in_flight_; }

    /// Processor time spent in the owner.
    std::chrono::steady_clock::duration processor_time() const { return processor_time_; }

private:
    struct scheduled_event {
        base::time_point at;
        std::uint64_t sequence_number = 0;
        owner_event event;

        friend bool operator<(const scheduled_event& a, const scheduled_event& b) {
            return std::pair(a.at, a.sequence_number) > std::pair(b.at, b.sequence_number);
        }
    };

    void process_event(const owner_event& event) {
        const auto begin = std::chrono::steady_clock::now();
        const std::vector<owner_action> actions = owner_.handle(event, now_);
        processor_time_ += std::chrono::steady_clock::now() - begin;
        in_flight_ -= std::holds_alternative<call_answered>(event) ? 1U : 0U;
        for (const owner_action& action : actions) {
            if (const auto* call = std::get_if<make_call>(&action)) {
                answer_call(*call);
            } else if (const auto* start = std::get_if<start_run>(&action)) {
                start_delays_ms_.push_back(
                    base::to_milliseconds(now_ - arrival_times_[start->request.waiter]));
                schedule(run_duration,
                         run_ended{start->run, ledger::response{200, std::string(response_bytes_, 'a')}});
            } else if (const auto* reply = std::get_if<send_reply>(&action)) {
                replies_.push_back(reply->reply);
            }
        }
    }

    void answer_call(const make_call& call) {
        ++in_flight_;
        max_in_flight_ = std::max(max_in_flight_, in_flight_);
        const auto* write = std::get_if<object_api::write_object>(&call.request);
        if (write != nullptr && write->key.kind == "ledgers") {
            commit_times_.push_back(now_);
        }
        const object_api::answer answer = platform_down_
                                              ? object_api::failed{{base::error_code::unavailable, "down"}}
                                              : platform_.apply(call.request, std::nullopt);
        schedule(platform_latency, call_answered{call.call, answer});
    }

    void schedule(base::duration delay, owner_event event) {
        events_.push({now_ + delay, next_sequence_number_++, std::move(event)});
    }

    std::size_t response_bytes_;
    base::time_point now_{std::chrono::hours(1)};
    fake_platform platform_;
    bool platform_down_ = false;
    std::priority_queue<scheduled_event> events_;
    std::uint64_t next_sequence_number_ = 0;
    std::vector<base::time_point> arrival_times_;
    std::vector<double> start_delays_ms_;
    std::vector<ledger::reply> replies_;
    std::vector<base::time_point> commit_times_;
    std::size_t in_flight_ = 0;
    std::size_t max_in_flight_ = 0;
    std::chrono::steady_clock::duration processor_time_{};
    ledger::owner owner_;
};

} // namespace rattanbay::ledger::test
