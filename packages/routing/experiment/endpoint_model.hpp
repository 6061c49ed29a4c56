#pragma once

#include <rattanbay/object_api/vm_list.hpp>
#include <rattanbay/pipeline/action.hpp>

#include <event_queue.hpp>
#include <installation.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>

namespace rattanbay::routing::experiment {

/// State of a call from its sending to the arrival of its response.
struct call {
    std::uint64_t request = 0;
    std::size_t stage = 0;
    pipeline::attempt_purpose purpose = pipeline::attempt_purpose::first;
    std::size_t endpoint = 0;
    base::time_point sent_at;
    std::uint64_t prefix = 0;
    /// Factor on the mean processing time of the service.
    double work_factor = 1;
    /// The entry VM no longer waits for the response.
    bool ended = false;
    /// Time that the endpoint spent on the call.
    base::duration processing_time{};
};

using call_ptr = std::shared_ptr<call>;

/// Model of an endpoint with a queue, a number of slots and a cache of prompt prefixes.
class endpoint_model {
public:
    using response_handler = std::function<void(const call_ptr&, pipeline::attempt_result)>;

    endpoint_model(event_queue& events, object_api::vm vm, service_spec spec);

    /// Adds a call to the queue. `respond` is called when the response is sent, which may never happen.
    void enqueue(const call_ptr& received, response_handler respond);

    /// Handles the closing of the connection of a call. Engines abort the call; other services do not notice.
    void cancel(const call_ptr& target);

    /// While `silent`, the endpoint neither responds to calls nor refuses them. All calls are lost.
    void set_silent(bool silent);

    bool silent() const { return silent_; }

    std::size_t running() const { return running_.size(); }

    std::size_t waiting() const { return queue_.size(); }

    /// Total processing time of calls so far, in microseconds.
    double busy_time_us() const { return busy_time_us_; }

    std::uint64_t prefix_hits() const { return prefix_hits_; }

    const object_api::vm vm;
    const service_spec spec;
    /// Factor on the processing time of all calls.
    double slowdown = 1;
    bool refusing = false;
    /// Share of calls that fail.
    double failure_ratio = 0;

private:
    struct job {
        call_ptr source;
        response_handler respond;
        base::time_point started_at;
    };

    void start_queued_calls();
    void finish(const std::shared_ptr<job>& finished, pipeline::attempt_result result);
    double prefix_work_factor(std::uint64_t prefix);

    event_queue& events_;
    std::deque<std::shared_ptr<job>> queue_;
    std::list<std::shared_ptr<job>> running_;
    std::list<std::uint64_t> prefix_cache_;
    double busy_time_us_ = 0;
    std::uint64_t prefix_hits_ = 0;
    std::uint64_t started_ = 0;
    bool silent_ = false;
};

} // namespace rattanbay::routing::experiment
