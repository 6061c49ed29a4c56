#pragma once

/// Structured logging, the event timeline and metrics.
///
/// Parts:
/// - log.hpp: structured logging
/// - log_event.hpp: catalogue of log events
/// - metrics.hpp: counters and histograms of a daemon
/// - timeline.hpp: recent events of requests and of the daemon, in memory

#include <rattanbay/telemetry/log.hpp>
#include <rattanbay/telemetry/log_event.hpp>
#include <rattanbay/telemetry/metrics.hpp>
#include <rattanbay/telemetry/timeline.hpp>
