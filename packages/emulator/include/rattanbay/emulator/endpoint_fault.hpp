#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/time.hpp>

namespace rattanbay::emulator {

/// Kinds of faults of an emulated endpoint.
enum class endpoint_fault_mode {
    none,
    /// Delays the start of the execution.
    slow,
    /// Answers with status 500 without executing the call.
    error,
    /// Connections that are open when the fault is set never answer again, whichever fault is set
    /// later. Calls on them are not executed. New connections are not affected.
    silent,
    /// Executes the call, then closes the connection in the middle of the body.
    cut,
    /// Executes the call, then sends a body longer than its Content-Length.
    wrong_length,
    /// Executes the call immediately and delays its response.
    late,
};

/// Fault of an emulated endpoint and the share of calls that it applies to.
struct endpoint_fault {
    endpoint_fault_mode mode = endpoint_fault_mode::none;
    base::duration delay{};
    /// Probability that the fault applies to a call or, with `silent`, to a connection.
    double probability = 1.0;
};

} // namespace rattanbay::emulator

template <> struct rattanbay::base::enum_names<rattanbay::emulator::endpoint_fault_mode> {
    static constexpr std::array<enum_name<emulator::endpoint_fault_mode>, 7> table{{
        {emulator::endpoint_fault_mode::none, "none"},
        {emulator::endpoint_fault_mode::slow, "slow"},
        {emulator::endpoint_fault_mode::error, "error"},
        {emulator::endpoint_fault_mode::silent, "silent"},
        {emulator::endpoint_fault_mode::cut, "cut"},
        {emulator::endpoint_fault_mode::wrong_length, "wrong_length"},
        {emulator::endpoint_fault_mode::late, "late"},
    }};
};
