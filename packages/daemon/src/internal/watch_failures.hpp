#pragma once

#include <rattanbay/base/time.hpp>

namespace rattanbay::daemon::internal {

/// Timeout of a watch call. The adapter adds a margin, so an unresponsive call is detected after 10 s.
constexpr std::chrono::seconds watch_timeout{8};

/// Consecutive failures of a watch.
class watch_failures {
public:
    /// Time for which the platform may delay the next answer. After a failure it has to answer immediately,
    /// so that its recovery is known at once.
    base::duration wait() const { return last_failed_ ? base::duration::zero() : watch_timeout; }

    bool last_failed() const { return last_failed_; }

    unsigned count() const { return count_; }

    void record(bool usable) {
        if (!usable) {
            ++count_;
        } else if (!last_failed_) {
            // An immediate answer does not show yet that a watch succeeds.
            count_ = 0;
        }
        last_failed_ = !usable;
    }

private:
    unsigned count_ = 0;
    bool last_failed_ = false;
};

} // namespace rattanbay::daemon::internal
