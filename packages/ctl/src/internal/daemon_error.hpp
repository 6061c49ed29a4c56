#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/ctl/exit_code.hpp>

namespace rattanbay::ctl::internal {

/// Whether an error of `daemon_client` means that no response arrived, as opposed to an error status or an
/// invalid response.
inline bool is_unanswered(const base::error& reason) {
    return reason.code != base::error_code::conflict && reason.code != base::error_code::protocol_violation;
}

/// Returns the exit code for a failed call of a read-only command.
inline exit_code exit_code_for(const base::error& reason) {
    return is_unanswered(reason) ? exit_code::unreachable : exit_code::refused;
}

} // namespace rattanbay::ctl::internal
