#pragma once

/// HTTP API for callers: requests, responses, problem documents and event streams.
///
/// Parts:
/// - event_stream.hpp: parsing and formatting of server-sent events
/// - problem_document.hpp: problems as RFC 9457 documents
/// - run_request.hpp: parsed requests to run a pipeline
/// - run_response.hpp: response bodies and stream chunks

#include <rattanbay/caller/event_stream.hpp>
#include <rattanbay/caller/problem_document.hpp>
#include <rattanbay/caller/run_request.hpp>
#include <rattanbay/caller/run_response.hpp>
