#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/answer_check.hpp>
#include <rattanbay/emulator/caller_request.hpp>
#include <rattanbay/http/connection_pool.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace rattanbay::emulator::internal {

/// One call of a caller at an entry VM.
struct caller_call {
    base::address address;
    http::request message;
    bool stream = false;
    /// Longest silence of the entry VM.
    base::duration silence_limit{};
    /// When the caller waits no longer.
    base::time_point give_up_at;
};

/// How a call ended.
struct call_result {
    request_event event;
    /// Output of a success, or the text of a stream.
    nlohmann::json output;
    /// Value of the answer's X-Request-Id.
    std::optional<std::string> request_id;
    std::optional<base::time_point> first_token;
};

/// Carries out a call on a pooled connection or a new one. A pooled connection that broke, as the
/// server may close it at any time, is replaced by a new one to the same address once.
boost::asio::awaitable<call_result> carry_out(http::connection_pool& pool, caller_call call);

} // namespace rattanbay::emulator::internal
