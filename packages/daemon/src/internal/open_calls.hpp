#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/relay/balancer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace rattanbay::daemon::internal {

/// What shows that an endpoint's process has ended, whatever an open connection to it says. That an endpoint
/// is silent, or is listed no more, shows nothing: it may go on.
enum class endpoint_end {
    /// Another endpoint that started later is listed at its address, and it is not.
    replaced,
    /// A request for it was answered by another endpoint at its address.
    misdirected,
};

/// Calls in progress at endpoints, which end when their endpoint has ended. Thread-safe.
class open_calls {
public:
    /// Closes the connection of a call unless there is something to read. Called from any thread, and again
    /// as long as the call is registered and its endpoint appears to have ended.
    using end_handler = std::function<void(endpoint_end)>;

    /// Registers a call during its lifetime.
    class registration {
    public:
        registration(std::shared_ptr<open_calls> calls, relay::chosen_endpoint endpoint, end_handler on_end)
            : calls_(std::move(calls))
            , key_(calls_->add(std::move(endpoint), std::move(on_end))) {}

        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        ~registration() { calls_->remove(key_); }

    private:
        /// Shared, as requests that are open when the daemon is destroyed outlive its state.
        std::shared_ptr<open_calls> calls_;
        std::uint64_t key_;
    };

    /// Records that the endpoint is no longer at its address, and ends its calls.
    void record_misdirected(const relay::chosen_endpoint& endpoint);

    /// Ends the calls at endpoints that are replaced according to the list in use, and those at endpoints
    /// found to be misdirected earlier which still had something to read.
    void end_calls(const relay::balancer& balancer);

private:
    struct call {
        relay::chosen_endpoint endpoint;
        end_handler on_end;
        /// Holds for good, unlike what a list shows.
        bool is_misdirected = false;
        bool is_logged = false;
    };

    std::uint64_t add(relay::chosen_endpoint endpoint, end_handler on_end);
    void remove(std::uint64_t key);
    /// Calls the handlers of the calls for which `find_end` finds that their endpoint has ended. Logs each
    /// such endpoint once.
    void end_calls(const std::function<std::optional<endpoint_end>(const call&)>& find_end);

    std::mutex mutex_;
    std::map<std::uint64_t, call> calls_;
    std::uint64_t last_key_ = 0;
};

} // namespace rattanbay::daemon::internal

template <> struct rattanbay::base::enum_names<rattanbay::daemon::internal::endpoint_end> {
    static constexpr std::array<enum_name<daemon::internal::endpoint_end>, 2> table{{
        {daemon::internal::endpoint_end::replaced, "replaced"},
        {daemon::internal::endpoint_end::misdirected, "misdirected"},
    }};
};
