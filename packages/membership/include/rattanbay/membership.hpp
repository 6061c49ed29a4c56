#pragma once

/// Which daemons exist, by the SWIM protocol, and which of their addresses callers are told.
///
/// Parts:
/// - detector.hpp: probes, suspicion and the member table
/// - entry_selection.hpp: the entry addresses for a caller
/// - scheduler_selection.hpp: the daemons that schedule a worker pool

#include <rattanbay/membership/detector.hpp>
#include <rattanbay/membership/entry_selection.hpp>
#include <rattanbay/membership/scheduler_selection.hpp>
