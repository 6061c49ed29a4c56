#pragma once

/// Emulators of the platform and the endpoints around rattanbay, and a load generator.
///
/// Parts:
/// - answer_check.hpp: verifies that an answer is complete and belongs to its request
/// - arrival_process.hpp: Poisson request arrivals from a seed
/// - batch_timing.hpp: token times of an engine with continuous batching
/// - caller_request.hpp: state machine of one request: target entry, idempotency key and retries
/// - connection_loss.hpp: loss of connections without a notice to the other side
/// - endpoint_fault.hpp: faults of emulated endpoints
/// - endpoint_service.hpp: common interface of emulated endpoints
/// - engine_streams.hpp: streams of a model engine and their progress
/// - entry_directory.hpp: entry VMs known to one caller, with recent failures
/// - entry_list.hpp: answer of `GET /v1/entries`
/// - execution_check.hpp: compares reported outcomes with counted executions
/// - execution_counts.hpp: execution counts by idempotency key and attempt
/// - expected_output.hpp: deterministic outputs of the emulated endpoints
/// - fault_injector.hpp: selects the calls that a fault applies to
/// - lagged_vm_list.hpp: VM list with a propagation delay
/// - load_generator.hpp: open-loop load through the caller protocol
/// - load_history.hpp: delayed load reports
/// - load_options.hpp: configuration of the load generator
/// - load_recorder.hpp: collects the results of requests
/// - load_report.hpp: results of a run of the load generator
/// - model_engine.hpp: emulated model engine with continuous batching
/// - object_store.hpp: versioned objects with conditional writes
/// - order_log.hpp: orders accepted by a model engine, checked by fencing token
/// - plain_service.hpp: emulated plain service, for example an order desk
/// - platform_fault.hpp: faults of the emulated platform
/// - platform_service.hpp: emulated platform
/// - problem_details.hpp: members of a problem document that a caller uses
/// - service_time_distribution.hpp: random service times with jitter
/// - slot_queue.hpp: priority queue for the slots of an endpoint
/// - worker_pool.hpp: emulated pool of encoders, retrievers or rerankers

#include <rattanbay/emulator/answer_check.hpp>
#include <rattanbay/emulator/arrival_process.hpp>
#include <rattanbay/emulator/batch_timing.hpp>
#include <rattanbay/emulator/caller_request.hpp>
#include <rattanbay/emulator/connection_loss.hpp>
#include <rattanbay/emulator/endpoint_fault.hpp>
#include <rattanbay/emulator/endpoint_service.hpp>
#include <rattanbay/emulator/engine_streams.hpp>
#include <rattanbay/emulator/entry_directory.hpp>
#include <rattanbay/emulator/entry_list.hpp>
#include <rattanbay/emulator/execution_check.hpp>
#include <rattanbay/emulator/execution_counts.hpp>
#include <rattanbay/emulator/expected_output.hpp>
#include <rattanbay/emulator/fault_injector.hpp>
#include <rattanbay/emulator/lagged_vm_list.hpp>
#include <rattanbay/emulator/load_generator.hpp>
#include <rattanbay/emulator/load_history.hpp>
#include <rattanbay/emulator/load_options.hpp>
#include <rattanbay/emulator/load_recorder.hpp>
#include <rattanbay/emulator/load_report.hpp>
#include <rattanbay/emulator/model_engine.hpp>
#include <rattanbay/emulator/object_store.hpp>
#include <rattanbay/emulator/order_log.hpp>
#include <rattanbay/emulator/plain_service.hpp>
#include <rattanbay/emulator/platform_fault.hpp>
#include <rattanbay/emulator/platform_service.hpp>
#include <rattanbay/emulator/problem_details.hpp>
#include <rattanbay/emulator/service_time_distribution.hpp>
#include <rattanbay/emulator/slot_queue.hpp>
#include <rattanbay/emulator/worker_pool.hpp>
