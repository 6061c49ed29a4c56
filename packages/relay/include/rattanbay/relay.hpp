#pragma once

/// Decisions about requests that the daemon relays unchanged between clients and endpoints: how requests are
/// described, which endpoint gets them, which stages run before them and when they may be sent again.
/// Nothing in this package uses sockets, clocks or threads.
///
/// - attempt_rules.hpp: result of an attempt at an endpoint, and whether the request may be sent again
/// - balancer.hpp: selection of an endpoint
/// - call_comparison.hpp: streams compared with what the daemon usually sees
/// - cold_ceiling.hpp: share of a daemon in the requests that a cold endpoint may get
/// - endpoint_limits.hpp: limits on requests that endpoints name for all daemons together
/// - endpoint_pace.hpp: share of requests of an endpoint that has started or returned
/// - engine_speeds.hpp: speeds of engines as all daemons have seen them
/// - event_splitter.hpp: splitting of event streams into events
/// - messages.hpp: requests, responses and pieces of work independent of a platform's protocol
/// - part_quarantine.hpp: parts of prompts that make endpoints crash
/// - part_record.hpp: what daemons tell each other of such parts
/// - piece_scheduler.hpp: batching of pieces into calls to the endpoints of a worker pool
/// - protocol.hpp: interface to a platform's protocol
/// - request_allowance.hpp: share of a daemon in such a limit
/// - resend_budget.hpp: limit on attempts beyond the first, shared by all daemons
/// - resumption.hpp: where a stream that a client takes up again may go on
/// - route_table.hpp: routes by host and path
/// - service_versions.hpp: software versions that may have begun a stream that is still alive
/// - stage_times.hpp: estimates of the time that stages take
/// - stream_origin.hpp: service and software version at which a stream began
/// - stream_origins.hpp: where the streams began that are alive
/// - stream_pace.hpp: pauses between the events of a stream
/// - stream_record.hpp: what daemons tell each other of such a stream
/// - trial_turn.hpp: when a daemon may let trials of such parts pass
/// - version_record.hpp: what daemons tell each other of such a version

#include <rattanbay/relay/attempt_rules.hpp>
#include <rattanbay/relay/balancer.hpp>
#include <rattanbay/relay/call_comparison.hpp>
#include <rattanbay/relay/cold_ceiling.hpp>
#include <rattanbay/relay/endpoint_limits.hpp>
#include <rattanbay/relay/endpoint_pace.hpp>
#include <rattanbay/relay/engine_speeds.hpp>
#include <rattanbay/relay/event_splitter.hpp>
#include <rattanbay/relay/messages.hpp>
#include <rattanbay/relay/part_quarantine.hpp>
#include <rattanbay/relay/part_record.hpp>
#include <rattanbay/relay/piece_scheduler.hpp>
#include <rattanbay/relay/protocol.hpp>
#include <rattanbay/relay/request_allowance.hpp>
#include <rattanbay/relay/resend_budget.hpp>
#include <rattanbay/relay/resumption.hpp>
#include <rattanbay/relay/route_table.hpp>
#include <rattanbay/relay/service_versions.hpp>
#include <rattanbay/relay/stage_times.hpp>
#include <rattanbay/relay/stream_origin.hpp>
#include <rattanbay/relay/stream_origins.hpp>
#include <rattanbay/relay/stream_pace.hpp>
#include <rattanbay/relay/stream_record.hpp>
#include <rattanbay/relay/trial_turn.hpp>
#include <rattanbay/relay/version_record.hpp>
