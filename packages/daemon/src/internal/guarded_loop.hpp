#pragma once

#include "shared_state.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Logs that an exception ended a call or a round of a loop. `subject` names the request or endpoint, if any.
void log_aborted_call(std::string_view call, std::string_view subject, std::string_view detail);

/// Runs a loop of the daemon, and runs it again 0.5 s after an exception, which would end it for good. Ends
/// when the loop returns. `name` is a literal.
asio::awaitable<void> run_guarded(asio::any_io_executor executor, std::string_view name,
                                  std::function<asio::awaitable<void>()> loop);

} // namespace rattanbay::daemon::internal
