#pragma once

#include <rattanbay/base/time.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace rattanbay::routing::experiment {

/// Queue of timed events. Events scheduled for the same time run in the order of insertion.
class event_queue {
public:
    base::time_point now() const { return now_; }

    /// Schedules `action` for `time`, or for the current time if `time` has passed.
    void schedule_at(base::time_point time, std::function<void()> action) {
        events_.push({std::max(time, now_), ++last_sequence_number_, std::move(action)});
    }

    /// Schedules `action` after `delay`.
    void schedule_after(base::duration delay, std::function<void()> action) {
        schedule_at(now_ + delay, std::move(action));
    }

    /// Runs events until the queue is empty.
    void run() {
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.time;
            next.action();
        }
    }

private:
    struct event {
        base::time_point time;
        std::uint64_t sequence_number = 0;
        std::function<void()> action;

        friend bool operator<(const event& lhs, const event& rhs) {
            return std::pair(lhs.time, lhs.sequence_number) > std::pair(rhs.time, rhs.sequence_number);
        }
    };

    base::time_point now_{};
    std::uint64_t last_sequence_number_ = 0;
    std::priority_queue<event> events_;
};

} // namespace rattanbay::routing::experiment
