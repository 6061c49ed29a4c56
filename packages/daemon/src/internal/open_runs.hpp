#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace rattanbay::daemon::internal {

/// Registry of requests in progress that can be asked to end early. Thread-safe.
class open_runs {
public:
    /// Registers a request during its lifetime.
    class registration {
    public:
        /// `end_early` is called at most once, from any thread.
        registration(std::shared_ptr<open_runs> runs, std::function<void()> end_early)
            : runs_(std::move(runs))
            , key_(runs_->add(std::move(end_early))) {}

        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        ~registration() { runs_->remove(key_); }

    private:
        /// Shared, as requests that are open when the daemon is destroyed outlive its state.
        std::shared_ptr<open_runs> runs_;
        std::uint64_t key_;
    };

    /// Asks all requests to end.
    void end_all() {
        std::map<std::uint64_t, std::function<void()>> runs;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            runs.swap(runs_);
        }
        for (const std::pair<const std::uint64_t, std::function<void()>>& run : runs) {
            run.second();
        }
    }

private:
    std::uint64_t add(std::function<void()> end_early) {
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_.emplace(++last_key_, std::move(end_early));
        return last_key_;
    }

    void remove(std::uint64_t key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        runs_.erase(key);
    }

    std::mutex mutex_;
    std::map<std::uint64_t, std::function<void()>> runs_;
    std::uint64_t last_key_ = 0;
};

} // namespace rattanbay::daemon::internal
