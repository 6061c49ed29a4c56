#include <endpoint_model.hpp>

#include <algorithm>

namespace rattanbay::routing::experiment {

namespace {

/// Number of prompt prefixes in the cache of an engine; the workload uses 150.
constexpr std::size_t prefix_cache_capacity = 20;
/// Factor on the processing time of a call whose prefix is cached.
constexpr double cached_prefix_work_factor = 0.7;
/// Factor on the processing time of a failed call.
constexpr double failed_call_work_factor = 0.2;

} // namespace

endpoint_model::endpoint_model(event_queue& events, object_api::vm vm_info, service_spec service)
    : vm(std::move(vm_info))
    , spec(std::move(service))
    , events_(events) {}

void endpoint_model::enqueue(const call_ptr& received, response_handler respond) {
    if (silent_) {
        return;
    }
    if (refusing) {
        respond(received, pipeline::attempt_result::refused_connection);
        return;
    }
    queue_.push_back(std::make_shared<job>(job{received, std::move(respond), {}}));
    start_queued_calls();
}

void endpoint_model::cancel(const call_ptr& target) {
    if (spec.kind != config::service_kind::model_engine) {
        return;
    }
    std::erase_if(queue_, [&](const std::shared_ptr<job>& candidate) { return candidate->source == target; });
    const auto it =
        std::find_if(running_.begin(), running_.end(),
                     [&](const std::shared_ptr<job>& candidate) { return candidate->source == target; });
    if (it != running_.end()) {
        busy_time_us_ += static_cast<double>((events_.now() - (*it)->started_at).count());
        running_.erase(it);
        start_queued_calls();
    }
}

void endpoint_model::set_silent(bool silent) {
    silent_ = silent;
    queue_.clear();
    running_.clear();
}

void endpoint_model::start_queued_calls() {
    while (!queue_.empty() && running_.size() < spec.slots) {
        const std::shared_ptr<job> next = queue_.front();
        queue_.pop_front();
        running_.push_back(next);
        next->started_at = events_.now();
        // Failures are spread evenly, which meets the ratio exactly without a random source.
        const double failures_before = failure_ratio * static_cast<double>(started_);
        const double failures_after = failure_ratio * static_cast<double>(++started_);
        const bool fails =
            static_cast<std::uint64_t>(failures_after) > static_cast<std::uint64_t>(failures_before);
        double factor = next->source->work_factor * slowdown * (fails ? failed_call_work_factor : 1);
        if (spec.kind == config::service_kind::model_engine) {
            factor *= prefix_work_factor(next->source->prefix);
        }
        const auto duration_us =
            static_cast<std::int64_t>(factor * static_cast<double>(spec.mean_processing_time.count()));
        const auto result = fails ? pipeline::attempt_result::failed : pipeline::attempt_result::succeeded;
        events_.schedule_after(base::duration(duration_us), [this, next, result] { finish(next, result); });
    }
}

void endpoint_model::finish(const std::shared_ptr<job>& finished, pipeline::attempt_result result) {
    const auto it = std::find(running_.begin(), running_.end(), finished);
    if (it == running_.end()) {
        return;
    }
    running_.erase(it);
    finished->source->processing_time = events_.now() - finished->started_at;
    busy_time_us_ += static_cast<double>(finished->source->processing_time.count());
    finished->respond(finished->source, result);
    start_queued_calls();
}

double endpoint_model::prefix_work_factor(std::uint64_t prefix) {
    const auto it = std::find(prefix_cache_.begin(), prefix_cache_.end(), prefix);
    const bool is_hit = it != prefix_cache_.end();
    if (is_hit) {
        prefix_cache_.erase(it);
        ++prefix_hits_;
    }
    prefix_cache_.push_front(prefix);
    if (prefix_cache_.size() > prefix_cache_capacity) {
        prefix_cache_.pop_back();
    }
    return is_hit ? cached_prefix_work_factor : 1;
}

} // namespace rattanbay::routing::experiment
