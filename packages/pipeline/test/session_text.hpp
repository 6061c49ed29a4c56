#pragma once

#include <rattanbay/base.hpp>
#include <rattanbay/pipeline.hpp>

#include <string>

namespace rattanbay::pipeline::test {

/// Formats an event as one line, for golden files and the logs of failed fuzz runs.
std::string to_text(const event& ev);

/// Formats an action as one line.
std::string to_text(const action& requested);

/// Formats the time since the start of a test in milliseconds, with three decimals.
std::string to_text(base::time_point now);

} // namespace rattanbay::pipeline::test
