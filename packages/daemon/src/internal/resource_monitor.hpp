#pragma once

#include "shared_state.hpp"

#include <rattanbay/base/time.hpp>

#include <cstdint>

namespace rattanbay::daemon::internal {

/// Reports the use of the daemon's budgets in the metrics and the log, and closes connections that were idle
/// for too long. Runs on the control strand.
class resource_monitor {
public:
    explicit resource_monitor(shared_state& shared)
        : shared_(shared) {}

    /// Called a few times a second.
    void refresh();

private:
    void log_shortage();

    shared_state& shared_;
    base::time_point last_refresh_{};
    std::uint64_t logged_rejections_ = 0;
    std::uint64_t logged_closed_ = 0;
};

} // namespace rattanbay::daemon::internal
