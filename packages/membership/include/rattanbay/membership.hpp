#pragma once

/// Cluster membership of daemons by the SWIM protocol, and the selection of members for callers and worker
/// pools.
///
/// - detector.hpp: failure detector and member table
/// - dissemination_square.hpp: neighbours to which daemons pass on news in two hops
/// - eligibility.hpp: members that take requests and roles
/// - entry_selection.hpp: selection of entry addresses for a caller
/// - pool_plan.hpp: division of a worker pool among the daemons that schedule it
/// - pool_shard.hpp: endpoints of a worker pool that one daemon schedules
/// - scheduler_candidates.hpp: selection of the members among which a daemon divides a worker pool
/// - scheduler_selection.hpp: unweighted selection of daemons for small roles
/// - store_readers.hpp: selection of the daemons that read the platform's store without delay
/// - view_check.hpp: whether a daemon knows enough members to take a role that others must not have too

#include <rattanbay/membership/detector.hpp>
#include <rattanbay/membership/dissemination_square.hpp>
#include <rattanbay/membership/eligibility.hpp>
#include <rattanbay/membership/entry_selection.hpp>
#include <rattanbay/membership/pool_plan.hpp>
#include <rattanbay/membership/pool_shard.hpp>
#include <rattanbay/membership/scheduler_candidates.hpp>
#include <rattanbay/membership/scheduler_selection.hpp>
#include <rattanbay/membership/store_readers.hpp>
#include <rattanbay/membership/view_check.hpp>
