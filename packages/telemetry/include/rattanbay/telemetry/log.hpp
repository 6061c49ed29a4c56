#pragma once

#include <rattanbay/telemetry/log_event.hpp>

#include <string>
#include <utility>
#include <vector>

namespace rattanbay::telemetry {

/// Fields of a log line or of a time line event, in order.
using event_fields = std::vector<std::pair<std::string, std::string>>;

/// Sends log lines of this level and above to standard output, each a JSON object with the time,
/// the level, the event's number and name, the VM and the fields. A thread of its own writes them;
/// lines that it cannot write in time are dropped, and `lines_dropped` says how many.
void start_logging(log_level lowest, const std::string& vm);

/// Writes the lines that still wait. Lines that come later are lost.
void stop_logging();

/// Writes a log line.
void log(log_event event, const event_fields& fields);

} // namespace rattanbay::telemetry
