#pragma once

/// Relay of requests that pass unchanged between callers and endpoints: what a request asks for,
/// where it goes, what is done before it and what may be done when it fails. Nothing here has a
/// socket, a clock or a thread.
///
/// Parts:
/// - attempt_rules.hpp: what an endpoint's answer or failure says about a request
/// - balancer.hpp: choice of an endpoint
/// - call.hpp: a request as the relay sees it
/// - event_splitter.hpp: events of a stream
/// - piece_scheduler.hpp: calls with pieces for the endpoints of a worker pool
/// - protocol.hpp: what the relay needs from a platform's protocol
/// - resend_budget.hpp: share of the repeats that all daemons may make
/// - route_table.hpp: routes by host and path
/// - stage_times.hpp: estimates of the time that stages take

#include <rattanbay/relay/attempt_rules.hpp>
#include <rattanbay/relay/balancer.hpp>
#include <rattanbay/relay/call.hpp>
#include <rattanbay/relay/event_splitter.hpp>
#include <rattanbay/relay/piece_scheduler.hpp>
#include <rattanbay/relay/protocol.hpp>
#include <rattanbay/relay/resend_budget.hpp>
#include <rattanbay/relay/route_table.hpp>
#include <rattanbay/relay/stage_times.hpp>
