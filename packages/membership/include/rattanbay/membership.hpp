#pragma once

/// Cluster membership of daemons by the SWIM protocol, and the selection of members for callers and worker
/// pools.
///
/// - detector.hpp: failure detector and member table
/// - entry_selection.hpp: selection of entry addresses for a caller
/// - scheduler_selection.hpp: selection of the daemons that schedule a worker pool

#include <rattanbay/membership/detector.hpp>
#include <rattanbay/membership/entry_selection.hpp>
#include <rattanbay/membership/scheduler_selection.hpp>
