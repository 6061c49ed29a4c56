#include <rattanbay/routing/router.hpp>

#include <internal/selection.hpp>
#include <internal/view.hpp>

#include <algorithm>

namespace rattanbay::routing {

namespace {

std::shared_ptr<const internal::view> empty_view(base::failure_domain local) {
    auto first = std::make_shared<internal::view>();
    first->local = std::move(local);
    return first;
}

void record_success(const internal::view& table, const internal::view::position& at, base::duration took,
                    base::time_point now) {
    const internal::entry& endpoint = *at.endpoint;
    if (endpoint.smallest->record(took)) {
        table.update_distances();
    }
    endpoint.state->record_time(took, now);
    const std::int64_t way = endpoint.crosses ? endpoint.domain->distance.load(std::memory_order_relaxed) : 0;
    at.service->state->times.record(took);
    at.service->state->work_times.record(took - base::duration(way));
    at.service->state->succeeded(*endpoint.state, now);
}

} // namespace

router::router(base::failure_domain local)
    : view_(empty_view(std::move(local))) {}

router::~router() = default;

void router::publish(const endpoint_table& table) {
    view_.publish(internal::view::build(table, *view_.read()));
}

std::optional<route> router::choose(const route_request& request, base::time_point now,
                                    base::random_source& random) {
    const std::shared_ptr<const internal::view> table = view_.read();
    const internal::service_view* service = table->find(request.service);
    if (!service) {
        return std::nullopt;
    }
    return internal::selection(*table, *service, request, now, random).choose();
}

void router::attempt_started(const base::endpoint_id& endpoint) {
    const std::shared_ptr<const internal::view> table = view_.read();
    if (const internal::view::position at = table->find(endpoint); at.endpoint) {
        at.endpoint->state->count_started();
    }
}

void router::attempt_ended(const base::endpoint_id& endpoint, pipeline::attempt_result result,
                           base::duration took, base::time_point now) {
    const std::shared_ptr<const internal::view> table = view_.read();
    const internal::view::position at = table->find(endpoint);
    if (!at.endpoint) {
        const auto it = table->retired.find(endpoint);
        if (it != table->retired.end()) {
            it->second->count_ended();
        }
        return;
    }
    at.endpoint->state->count_ended();
    switch (result) {
    case pipeline::attempt_result::succeeded:
        record_success(*table, at, took, now);
        break;
    case pipeline::attempt_result::failed:
    case pipeline::attempt_result::went_silent:
        at.service->state->failed(*at.endpoint->state, false, now);
        break;
    case pipeline::attempt_result::refused_connection:
        at.service->state->failed(*at.endpoint->state, true, now);
        break;
    case pipeline::attempt_result::cancelled:
        at.service->state->cancelled(*at.endpoint->state, now);
        break;
    }
}

void router::load_reported(const base::endpoint_id& endpoint, const load_report& report,
                           base::time_point now) {
    const std::shared_ptr<const internal::view> table = view_.read();
    if (const internal::view::position at = table->find(endpoint); at.endpoint) {
        internal::endpoint_state& state = *at.endpoint->state;
        // The report counts this VM's own calls too, which `outstanding` knows without lag.
        const auto own = static_cast<double>(state.outstanding.load(std::memory_order_relaxed));
        const auto all = static_cast<double>(report.running + report.waiting);
        state.record_load(std::max(0.0, all - own), now - report.age);
    }
}

void router::endpoint_leaving(const base::endpoint_id& endpoint) {
    const std::shared_ptr<const internal::view> table = view_.read();
    if (const internal::view::position at = table->find(endpoint); at.endpoint) {
        at.endpoint->state->leaving.store(true, std::memory_order_relaxed);
    }
}

void router::endpoint_staying(const base::endpoint_id& endpoint) {
    const std::shared_ptr<const internal::view> table = view_.read();
    if (const internal::view::position at = table->find(endpoint); at.endpoint) {
        at.endpoint->state->leaving.store(false, std::memory_order_relaxed);
    }
}

pipeline::service_times router::times(const base::service_name& service) const {
    const std::shared_ptr<const internal::view> table = view_.read();
    const internal::service_view* found = table->find(service);
    if (!found) {
        return {};
    }
    if (!found->state->times.measured()) {
        const base::duration expected = found->settings.expected_duration;
        return {expected, 2 * expected, 3 * expected};
    }
    return found->state->times.percentiles();
}

std::size_t router::ejected(const base::service_name& service) const {
    const std::shared_ptr<const internal::view> table = view_.read();
    const internal::service_view* found = table->find(service);
    return found ? found->state->ejected() : 0;
}

} // namespace rattanbay::routing
