#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/time.hpp>

namespace rattanbay::emulator {

/// Kinds of faults of the emulated platform.
enum class platform_fault_mode {
    none,
    /// Closes connections without a response; calls have no effect.
    down,
    /// Delays every call.
    slow,
    /// Applies writes and deletions, then closes the connection without a response.
    lose_answers,
    /// Answers reads, listings and watches with data as old as the delay.
    stale,
    /// Watches report no changes.
    silent_watches,
};

/// Fault of the emulated platform and its delay.
struct platform_fault {
    platform_fault_mode mode = platform_fault_mode::none;
    base::duration delay{};
};

} // namespace rattanbay::emulator

template <> struct rattanbay::base::enum_names<rattanbay::emulator::platform_fault_mode> {
    static constexpr std::array<enum_name<emulator::platform_fault_mode>, 6> table{{
        {emulator::platform_fault_mode::none, "none"},
        {emulator::platform_fault_mode::down, "down"},
        {emulator::platform_fault_mode::slow, "slow"},
        {emulator::platform_fault_mode::lose_answers, "lose_answers"},
        {emulator::platform_fault_mode::stale, "stale"},
        {emulator::platform_fault_mode::silent_watches, "silent_watches"},
    }};
};
