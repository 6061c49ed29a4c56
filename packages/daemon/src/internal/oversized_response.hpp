#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/telemetry.hpp>

#include <string>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Logs and counts a response that was given up because of its size; does nothing for other errors. `server`
/// is "endpoint" or "platform", `sender` identifies it and `request` the request, which may be empty.
inline void record_oversized_response(telemetry::metrics& metrics, std::string_view server,
                                      std::string_view sender, std::string_view request,
                                      const base::error& reason) {
    if (reason.code != base::error_code::exhausted) {
        return;
    }
    metrics.record_oversized_response(server);
    telemetry::log(telemetry::log_event::response_too_large, {{"request", std::string(request)},
                                                              {"server", std::string(server)},
                                                              {"sender", std::string(sender)},
                                                              {"detail", reason.message}});
}

} // namespace rattanbay::daemon::internal
