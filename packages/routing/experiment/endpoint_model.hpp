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

/// A call on its way to, at, or back from an endpoint.
struct call {
    std::uint64_t request = 0;
    std::size_t stage = 0;
    pipeline::attempt_purpose purpose = pipeline::attempt_purpose::first;
    std::size_t endpoint = 0;
    base::time_point sent;
    std::uint64_t prefix = 0;
    double work = 1;
    /// The entry VM no longer waits for it.
    bool ended = false;
    /// Time that the endpoint worked on it.
    base::duration busy{};
};

using call_pointer = std::shared_ptr<call>;

/// An endpoint with a queue, slots and a cache of prompt prefixes.
class endpoint_model {
public:
    using answer_function = std::function<void(const call_pointer&, pipeline::attempt_result)>;

    endpoint_model(event_queue& events, object_api::vm listed, service_plan plan);

    /// A call arrives; `answer` is called when its answer leaves, which may be never.
    void arrive(const call_pointer& arrived, answer_function answer);

    /// The connection of a call was closed. Engines stop working on it; others see it too late.
    void cancel(const call_pointer& cancelled);

    /// Loses all work and neither answers nor refuses until `silent` is false again.
    void set_silent(bool silent);

    bool silent() const { return silent_; }

    std::size_t running() const { return running_.size(); }

    std::size_t waiting() const { return waiting_.size(); }

    /// Time worked on calls so far, in microseconds.
    double busy_us() const { return busy_us_; }

    std::uint64_t prefix_hits() const { return prefix_hits_; }

    const object_api::vm listed;
    const service_plan plan;
    double slowness = 1;
    bool refusing = false;
    double failing_share = 0;

private:
    struct work {
        call_pointer origin;
        answer_function answer;
        base::time_point began;
    };

    void start_waiting();
    void finish(const std::shared_ptr<work>& done, pipeline::attempt_result result);
    double prefix_factor(std::uint64_t prefix);

    event_queue& events_;
    std::deque<std::shared_ptr<work>> waiting_;
    std::list<std::shared_ptr<work>> running_;
    std::list<std::uint64_t> cached_;
    double busy_us_ = 0;
    std::uint64_t prefix_hits_ = 0;
    std::uint64_t started_ = 0;
    bool silent_ = false;
};

} // namespace rattanbay::routing::experiment
