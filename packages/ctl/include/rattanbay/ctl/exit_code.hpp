#pragma once

namespace rattanbay::ctl {

/// Exit codes of the program.
enum class exit_code {
    success = 0,
    /// The operation was refused, or a check has findings.
    refused = 1,
    /// The command line is invalid.
    usage = 2,
    /// A daemon or the platform could not be reached; nothing was changed.
    unreachable = 3,
    /// A change may or may not have taken effect.
    unknown = 4,
};

} // namespace rattanbay::ctl
