#pragma once

#include "platform_session.hpp"
#include "shared_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace rattanbay::daemon::internal {

/// Reads from the store which software versions are listed now, for a decision that the list in force, which
/// may be some seconds old, does not allow. Requests that ask while a read is under way share the next one.
class listed_version_reader : public std::enable_shared_from_this<listed_version_reader> {
public:
    listed_version_reader(shared_state& shared, control_strand strand, platform_session& platform);

    /// Makes all versions that are listed after this call active in `relay_state::versions`. Returns whether
    /// the store answered in time. Resumes on the executor of the caller.
    asio::awaitable<bool> read();

private:
    /// A read that has not begun, and the requests that wait for it.
    struct round {
        explicit round(const control_strand& strand)
            : end(strand) {}

        /// Cancelled at the end of the read.
        asio::steady_timer end;
        bool is_complete = false;
    };

    asio::awaitable<bool> join_next_round();
    asio::awaitable<void> run_rounds();
    asio::awaitable<bool> read_list();

    shared_state& shared_;
    control_strand strand_;
    platform_session& platform_;
    std::shared_ptr<round> next_;
    bool is_running_ = false;
};

} // namespace rattanbay::daemon::internal
