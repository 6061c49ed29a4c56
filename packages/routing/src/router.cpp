#include <rattanbay/routing/router.hpp>

#include <internal/selection.hpp>
#include <internal/view.hpp>

#include <algorithm>

namespace rattanbay::routing {

namespace {

std::shared_ptr<const internal::routing_view> make_empty_view(base::failure_domain local_domain) {
    auto view = std::make_shared<internal::routing_view>();
    view->local_domain = std::move(local_domain);
    return view;
}

void record_success(const internal::routing_view& view, const internal::routing_view::lookup_result& found,
                    base::duration latency, base::time_point now) {
    const internal::endpoint_entry& endpoint = *found.endpoint;
    if (endpoint.min_latency->record(latency)) {
        view.update_extra_latencies();
    }
    endpoint.state->record_latency(latency, now);
    const std::int64_t extra_latency_us =
        endpoint.crosses_domain ? endpoint.domain->extra_latency_us.load(std::memory_order_relaxed) : 0;
    found.service->state->latencies.record(latency);
    found.service->state->processing_times.record(latency - base::duration(extra_latency_us));
    found.service->state->record_success(*endpoint.state, now);
}

} // namespace

router::router(base::failure_domain local_domain)
    : view_(make_empty_view(std::move(local_domain))) {}

router::~router() = default;

void router::publish(const endpoint_table& table) {
    view_.publish(internal::routing_view::build(table, *view_.read()));
}

std::optional<route> router::choose(const route_request& request, base::time_point now,
                                    base::random_source& random) {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    const internal::service_entry* service = view->find(request.service);
    if (!service) {
        return std::nullopt;
    }
    return internal::selection(*view, *service, request, now, random).choose();
}

void router::attempt_started(const base::endpoint_id& endpoint) {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    if (const internal::routing_view::lookup_result found = view->find(endpoint); found.endpoint) {
        found.endpoint->state->increment_outstanding();
    }
}

void router::attempt_ended(const base::endpoint_id& endpoint, pipeline::attempt_result result,
                           base::duration latency, base::time_point now) {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    const internal::routing_view::lookup_result found = view->find(endpoint);
    if (!found.endpoint) {
        const auto it = view->retired.find(endpoint);
        if (it != view->retired.end()) {
            it->second->decrement_outstanding();
        }
        return;
    }
    found.endpoint->state->decrement_outstanding();
    switch (result) {
    case pipeline::attempt_result::succeeded:
        record_success(*view, found, latency, now);
        break;
    case pipeline::attempt_result::failed:
    case pipeline::attempt_result::went_silent:
        found.service->state->record_failure(*found.endpoint->state, false, now);
        break;
    case pipeline::attempt_result::refused_connection:
        found.service->state->record_failure(*found.endpoint->state, true, now);
        break;
    case pipeline::attempt_result::cancelled:
        found.service->state->record_cancellation(*found.endpoint->state, now);
        break;
    }
}

void router::load_reported(const base::endpoint_id& endpoint, const load_report& report,
                           base::time_point now) {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    if (const internal::routing_view::lookup_result found = view->find(endpoint); found.endpoint) {
        internal::endpoint_state& state = *found.endpoint->state;
        // The report includes the calls of this VM, whose current number is in `outstanding`.
        const auto own = static_cast<double>(state.outstanding.load(std::memory_order_relaxed));
        const auto all = static_cast<double>(report.running + report.waiting);
        state.record_load(std::max(0.0, all - own), now - report.age);
    }
}

void router::endpoint_leaving(const base::endpoint_id& endpoint) {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    if (const internal::routing_view::lookup_result found = view->find(endpoint); found.endpoint) {
        found.endpoint->state->leaving.store(true, std::memory_order_relaxed);
    }
}

void router::endpoint_live(const base::endpoint_id& endpoint) {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    if (const internal::routing_view::lookup_result found = view->find(endpoint); found.endpoint) {
        found.endpoint->state->leaving.store(false, std::memory_order_relaxed);
    }
}

pipeline::service_times router::latency_percentiles(const base::service_name& service) const {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    const internal::service_entry* found = view->find(service);
    if (!found) {
        return {};
    }
    if (!found->state->latencies.measured()) {
        const base::duration expected = found->settings.expected_duration;
        return {expected, 2 * expected, 3 * expected};
    }
    return found->state->latencies.percentiles();
}

std::size_t router::ejected_count(const base::service_name& service) const {
    const std::shared_ptr<const internal::routing_view> view = view_.read();
    const internal::service_entry* found = view->find(service);
    return found ? found->state->ejected_count() : 0;
}

} // namespace rattanbay::routing
