#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/answer_check.hpp>
#include <rattanbay/emulator/caller_request.hpp>
#include <rattanbay/http/connection_pool.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace rattanbay::emulator::internal {

/// One HTTP request of a caller to an entry VM.
struct entry_call {
    base::address address;
    http::request message;
    bool stream = false;
    /// Maximum time without data from the entry VM.
    base::duration inactivity_timeout{};
    /// Time at which the caller stops waiting for the response.
    base::time_point wait_deadline;
};

/// Result of a call.
struct call_result {
    request_event event;
    /// Output of a successful call, or the text of a stream.
    nlohmann::json output;
    /// X-Request-Id of the response.
    std::optional<std::string> request_id;
    std::optional<base::time_point> first_token;
};

/// Performs a call on a pooled connection or a new one. If a pooled connection turns out to be
/// broken, the call is sent once more on a new one, because the server may close idle connections
/// at any time.
boost::asio::awaitable<call_result> perform_call(http::connection_pool& pool, entry_call call);

} // namespace rattanbay::emulator::internal
