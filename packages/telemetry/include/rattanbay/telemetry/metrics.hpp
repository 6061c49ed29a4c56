#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanbay::telemetry {

/// Metrics of one daemon: results and latencies of requests, and cost by service. Safe for use from several
/// threads.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts a finished request. `result` is "answered" for a complete response in time, else the kind of
    /// the problem. Records the latency of answered requests only.
    void record_request(const base::pipeline_name& pipeline, std::string_view result,
                        base::duration duration);

    /// Counts a finished attempt of a stage, with its time and bytes. The label `result` separates the cost
    /// of discarded attempts.
    void record_attempt(const base::service_name& service, std::string_view result, base::duration duration,
                        bool cross_domain, std::size_t bytes);

    /// Counts tokens sent to a caller.
    void add_tokens(const base::pipeline_name& pipeline, std::uint64_t count);

    /// Counts a finished platform call.
    void record_platform_call(std::string_view kind, bool succeeded);

    /// Counts an answer about the VM list. `result` is "applied", "unchanged" or "stale".
    void record_vm_list_answer(std::string_view call, std::string_view result);

    /// Records the version of the VM list that the platform confirmed at `wall_us`, in microseconds since
    /// 1970.
    void set_vm_list_confirmed(std::uint64_t version, std::int64_t wall_us);

    /// Counts an offered document by its result: "adopted", "ignored" or "rejected".
    void record_document(std::string_view result);

    /// Records the revision in force and the highest revision that was offered or announced.
    void set_document_revisions(std::uint64_t in_force, std::uint64_t highest_seen);

    /// Records the number of errors in parts of the document in force that are left out.
    void set_unusable_document_parts(std::size_t count);

    /// Records the number of engines that get another share of requests because of their speed.
    void set_distinct_engines(std::size_t count);

    /// Records the number of endpoints that limit the requests of all daemons together.
    void set_limited_endpoints(std::size_t count);

    /// Records the number of failure domains that are evacuated.
    void set_evacuated_domains(std::size_t count);

    /// Sets the number of endpoints that are or are presumed to be cold.
    void set_cold_endpoints(std::size_t count);

    /// Records by how much a periodic task of the control thread was late.
    void record_loop_delay(base::duration delay);

    /// Counts a finished call to a worker pool by the result of the attempt.
    void record_piece_call(const base::service_name& service, std::string_view result);

    /// Counts a stream that a client took up again, by how its version was found.
    void record_resumption(std::string_view basis, bool is_allowed);

    /// Counts a finished stage of this daemon's requests. `scheduler` is "own" if this daemon scheduled it,
    /// else "peer".
    void record_stage(const base::service_name& service, std::string_view scheduler, std::string_view result);

    /// Counts stages that were handed to another scheduler because the first one gave no answer.
    void record_scheduler_failover(const base::service_name& service);

    /// Counts results of pieces that no request needs any more when they are made.
    void add_unused_results(const base::service_name& service, std::size_t count);

    /// Records the number of pieces that wait at this daemon, which schedules the worker pool.
    void set_waiting_pieces(const base::service_name& service, std::size_t count);

    /// Records the number of endpoints of a worker pool that this daemon schedules.
    void set_scheduled_endpoints(const base::service_name& service, std::size_t count);

    /// Counts a connection of a client that has ended, by the reason.
    void record_closed_connection(std::string_view reason);

    /// Counts a response that was given up because of its size. `server` is "endpoint" or "platform".
    void record_oversized_response(std::string_view server);

    /// Records the memory that is held for a use: "connections", "requests", "responses" or "peers".
    void set_held_bytes(std::string_view use, std::size_t bytes);

    /// Records the number of connections of "clients", "endpoints", "peers" or the "store".
    void set_connections(std::string_view use, std::size_t count);

    /// Counts requests and connections that were rejected for want of memory or descriptors.
    void add_resource_rejections(std::uint64_t count);

    /// Counts bytes of control traffic to or from other daemons.
    void add_peer_bytes(std::string_view direction, std::size_t count);

    /// All metrics in the Prometheus text format.
    std::string to_prometheus_text() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace rattanbay::telemetry
