#pragma once

/// State machine that executes one request: its stages, attempts, deadlines and token stream.
///
/// - action.hpp: actions that an execution returns to its driver
/// - event.hpp: events that the driver passes to an execution
/// - execution.hpp: the state machine of one request

#include <rattanbay/pipeline/action.hpp>
#include <rattanbay/pipeline/event.hpp>
#include <rattanbay/pipeline/execution.hpp>
