#pragma once

#include <rattanbay/telemetry/log_event.hpp>

#include <string>
#include <utility>
#include <vector>

namespace rattanbay::telemetry {

/// Ordered fields of a log line or timeline entry.
using event_fields = std::vector<std::pair<std::string, std::string>>;

/// Starts logging to standard output at `min_level` and above. Each line is a JSON object with the time,
/// the level, the number and name of the event, the VM and the fields. A background thread writes the
/// lines; when its queue is full, lines are dropped, and the event `lines_dropped` reports their number.
void start_logging(log_level min_level, const std::string& vm);

/// Flushes the queued lines and stops logging. Later lines are lost.
void stop_logging();

/// Queues a log line.
void log(log_event event, const event_fields& fields);

} // namespace rattanbay::telemetry
