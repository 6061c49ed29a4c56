#include <endpoint_model.hpp>

#include <algorithm>

namespace rattanbay::routing::experiment {

namespace {

/// Prefixes that an engine keeps, of 150 in use.
constexpr std::size_t cached_prefixes = 20;
/// Part of the work that is left when the prefix is cached.
constexpr double cached_work = 0.7;
/// A failed call takes this part of its work.
constexpr double failed_work = 0.2;

} // namespace

endpoint_model::endpoint_model(event_queue& events, object_api::vm listed_vm, service_plan service)
    : listed(std::move(listed_vm))
    , plan(std::move(service))
    , events_(events) {}

void endpoint_model::arrive(const call_pointer& arrived, answer_function answer) {
    if (silent_) {
        return;
    }
    if (refusing) {
        answer(arrived, pipeline::attempt_result::refused_connection);
        return;
    }
    waiting_.push_back(std::make_shared<work>(work{arrived, std::move(answer), {}}));
    start_waiting();
}

void endpoint_model::cancel(const call_pointer& cancelled) {
    if (plan.kind != config::service_kind::model_engine) {
        return;
    }
    std::erase_if(waiting_, [&](const std::shared_ptr<work>& one) { return one->origin == cancelled; });
    const auto it = std::find_if(running_.begin(), running_.end(),
                                 [&](const std::shared_ptr<work>& one) { return one->origin == cancelled; });
    if (it != running_.end()) {
        busy_us_ += static_cast<double>((events_.now() - (*it)->began).count());
        running_.erase(it);
        start_waiting();
    }
}

void endpoint_model::set_silent(bool silent) {
    silent_ = silent;
    waiting_.clear();
    running_.clear();
}

void endpoint_model::start_waiting() {
    while (!waiting_.empty() && running_.size() < plan.slots) {
        const std::shared_ptr<work> next = waiting_.front();
        waiting_.pop_front();
        running_.push_back(next);
        next->began = events_.now();
        // Failures alternate, which keeps the share exact without a random source.
        const double failures_before = failing_share * static_cast<double>(started_);
        const double failures_after = failing_share * static_cast<double>(++started_);
        const bool fails =
            static_cast<std::uint64_t>(failures_after) > static_cast<std::uint64_t>(failures_before);
        double factor = next->origin->work * slowness * (fails ? failed_work : 1);
        if (plan.kind == config::service_kind::model_engine) {
            factor *= prefix_factor(next->origin->prefix);
        }
        const auto took = static_cast<std::int64_t>(factor * static_cast<double>(plan.mean.count()));
        const auto result = fails ? pipeline::attempt_result::failed : pipeline::attempt_result::succeeded;
        events_.after(base::duration(took), [this, next, result] { finish(next, result); });
    }
}

void endpoint_model::finish(const std::shared_ptr<work>& done, pipeline::attempt_result result) {
    const auto it = std::find(running_.begin(), running_.end(), done);
    if (it == running_.end()) {
        return;
    }
    running_.erase(it);
    done->origin->busy = events_.now() - done->began;
    busy_us_ += static_cast<double>(done->origin->busy.count());
    done->answer(done->origin, result);
    start_waiting();
}

double endpoint_model::prefix_factor(std::uint64_t prefix) {
    const auto it = std::find(cached_.begin(), cached_.end(), prefix);
    const bool hit = it != cached_.end();
    if (hit) {
        cached_.erase(it);
        ++prefix_hits_;
    }
    cached_.push_front(prefix);
    if (cached_.size() > cached_prefixes) {
        cached_.pop_back();
    }
    return hit ? cached_work : 1;
}

} // namespace rattanbay::routing::experiment
