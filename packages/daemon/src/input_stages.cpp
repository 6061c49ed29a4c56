#include "internal/input_stages.hpp"

#include "internal/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::daemon::internal {

namespace {

/// Margin by which a stage that is shorter than a concurrent chain starts before it has to. It does not start
/// earlier because results occupy space at the endpoints that hold them until they are consumed.
constexpr std::chrono::milliseconds early_start_margin{150};
/// Time for the request to reach its endpoint and for the endpoint's calls to the holders of the results.
constexpr std::chrono::milliseconds fetch_margin{60};
/// A result crosses the link of its holder and that of the endpoint.
constexpr double links_per_fetch = 2;

} // namespace

input_stages::input_stages(std::shared_ptr<piece_router> router, asio::any_io_executor executor,
                           stage_plan plan)
    : router_(std::move(router))
    , executor_(executor)
    , plan_(std::move(plan))
    , progress_timer_(executor)
    , stages_(plan_.route->stages.size()) {
    const std::vector<std::size_t>& counts = plan_.request->piece_counts;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        stages_[n].pieces = n < counts.size() ? counts[n] : 0;
        stages_[n].completed = stages_[n].pieces == 0;
    }
    std::vector<std::size_t> piece_counts;
    for (const stage_state& row : stages_) {
        piece_counts.push_back(row.pieces);
    }
    const std::vector<relay::stage_estimate> estimates = relay::estimate_stage_times(
        plan_.route->stages, piece_counts, plan_.serving->routes->document().services);
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        stages_[n].estimate = estimates[n];
    }
}

asio::awaitable<std::optional<relay::piece_failure>> input_stages::run() {
    const std::shared_ptr<input_stages> self = shared_from_this();
    start_ = now();
    start_ready_stages();
    while (!is_complete() && !failure_ && !stopped_) {
        if (now() >= plan_.latest_start) {
            failure_ = relay::piece_failure::deadline_exceeded;
            break;
        }
        progress_timer_.expires_at(to_steady(plan_.latest_start));
        boost::system::error_code ignored;
        co_await progress_timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return failure_;
}

void input_stages::stop() {
    stopped_ = true;
    progress_timer_.cancel();
}

bool input_stages::has_dependents(std::size_t stage) const {
    for (std::size_t other = 0; other < stages_.size(); ++other) {
        if (relay::is_dependency_of(plan_.route->stages, stage, other)) {
            return true;
        }
    }
    return false;
}

bool input_stages::is_complete() const {
    return std::ranges::all_of(stages_, [](const stage_state& row) { return row.completed; });
}

void input_stages::start_ready_stages() {
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        const std::vector<std::size_t>& dependencies = plan_.route->stages[n].depends_on;
        const bool ready = std::ranges::all_of(
            dependencies, [this](std::size_t needed) { return stages_[needed].completed; });
        if (!stages_[n].started && !stages_[n].completed && ready && should_start(n)) {
            start_stage(n);
        }
    }
}

bool input_stages::should_start(std::size_t stage) const {
    base::duration longest_other{};
    for (std::size_t other = 0; other < stages_.size(); ++other) {
        const bool is_concurrent = other != stage && !stages_[other].completed &&
                                   !relay::is_dependency_of(plan_.route->stages, stage, other);
        if (is_concurrent) {
            longest_other = std::max(longest_other, stages_[other].estimate.unloaded.total());
        }
    }
    return stages_[stage].estimate.unloaded.total() + early_start_margin >= longest_other;
}

void input_stages::start_stage(std::size_t stage) {
    const config::relay_stage& settings = plan_.route->stages[stage];
    stage_state& state = stages_[stage];
    state.started = true;
    state.start_time = now();
    stage_request request;
    request.service = settings.service;
    request.order.request = plan_.request->id;
    request.order.stage = stage;
    request.order.pieces = state.pieces;
    request.order.result_bytes = settings.result_bytes;
    request.order.urgency = plan_.urgency;
    for (const std::size_t needed : settings.depends_on) {
        const std::vector<std::string>& handles = stages_[needed].handles;
        request.order.inputs.insert(request.order.inputs.end(), handles.begin(), handles.end());
        request.order.input_bytes += plan_.route->stages[needed].result_bytes * handles.size();
    }
    if (settings.depends_on.empty()) {
        request.order.key = plan_.request->piece_key;
    }
    request.preferred_domain = preferred_domain_for(request.order);
    request.target_start = plan_.target_start - state.estimate.loaded.total();
    request.latest_start = plan_.latest_start - state.estimate.unloaded.total();
    const std::shared_ptr<input_stages> self = shared_from_this();
    state.ticket = router_->submit(std::move(request), [self, stage](const stage_result& result) {
        asio::post(self->executor_, [self, stage, result]() { self->handle_result(stage, result); });
    });
}

base::failure_domain input_stages::preferred_domain_for(const relay::stage_order& order) const {
    // Each piece fetches all inputs, while its result is fetched once.
    if (order.input_bytes <= order.result_bytes) {
        return plan_.preferred_domain;
    }
    // The pieces of a stage usually share a call, so all inputs are expected where the first one is.
    const std::optional<base::address> holder = plan_.relay->protocol->result_holder(order.inputs.front());
    return holder ? plan_.relay->balancer.failure_domain_at(*holder) : plan_.preferred_domain;
}

void input_stages::handle_result(std::size_t stage, const stage_result& result) {
    if (result) {
        stages_[stage].handles = *result;
        stages_[stage].completed = true;
        stages_[stage].end_time = now();
    } else if (!failure_) {
        failure_ = result.error();
    }
    if (stopped_ || failure_) {
        release();
    } else {
        start_ready_stages();
        release_consumed();
    }
    progress_timer_.cancel();
}

void input_stages::release_consumed() {
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        bool consumed = has_dependents(n);
        for (std::size_t other = 0; other < stages_.size(); ++other) {
            consumed = consumed &&
                       (!relay::is_dependency_of(plan_.route->stages, n, other) || stages_[other].completed);
        }
        if (consumed) {
            release(n);
        }
    }
}

void input_stages::release(std::size_t stage) {
    if (!stages_[stage].handles.empty()) {
        router_->release(plan_.route->stages[stage].service, std::move(stages_[stage].handles));
        stages_[stage].handles.clear();
    }
}

bool input_stages::has_inputs(base::time_point now) const {
    if (released_ || !is_complete()) {
        return false;
    }
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        const config::relay_service* const service = plan_.serving->find(plan_.route->stages[n].service);
        const bool is_input = !has_dependents(n) && stages_[n].end_time.has_value();
        if (is_input && service != nullptr && service->pieces &&
            now + estimate_fetch_time() >= *stages_[n].end_time + service->pieces->result_lifetime) {
            return false;
        }
    }
    return true;
}

bool input_stages::can_run_in_time(base::time_point now) const {
    return std::ranges::all_of(stages_, [this, now](const stage_state& row) {
        return row.pieces == 0 || now + row.estimate.unloaded.total() < plan_.latest_start;
    });
}

std::vector<std::string> input_stages::inputs() const {
    assert(!released_ && is_complete());
    std::vector<std::string> out;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (!has_dependents(n)) {
            out.insert(out.end(), stages_[n].handles.begin(), stages_[n].handles.end());
        }
    }
    return out;
}

base::duration input_stages::estimate_fetch_time() const {
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_and_mbps = 1000;
    double ms = 0;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        const config::relay_stage& settings = plan_.route->stages[n];
        const config::relay_service* const service = plan_.serving->find(settings.service);
        if (!has_dependents(n) && service != nullptr && service->pieces &&
            service->pieces->result_bandwidth_mbps > 0) {
            const double bits =
                static_cast<double>(settings.result_bytes * stages_[n].handles.size()) * bits_per_byte;
            ms += links_per_fetch * bits / (service->pieces->result_bandwidth_mbps * bits_per_ms_and_mbps);
        }
    }
    return fetch_margin +
           std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>(ms));
}

std::string input_stages::timings() const {
    const auto ms = [this](const std::optional<base::time_point>& at) {
        const base::duration since = at.value_or(start_) - start_;
        const std::int64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
        return at ? std::to_string(count) : std::string("-");
    };
    std::string out;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (stages_[n].pieces > 0) {
            out += (out.empty() ? "" : " ") + std::to_string(n) + "x" + std::to_string(stages_[n].pieces) +
                   ":" + ms(stages_[n].start_time) + ".." + ms(stages_[n].end_time);
        }
    }
    return out;
}

void input_stages::release() {
    stopped_ = true;
    released_ = true;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (stages_[n].ticket && !stages_[n].completed) {
            router_->cancel(std::move(stages_[n].ticket));
            stages_[n].ticket = nullptr;
        }
        release(n);
    }
}

} // namespace rattanbay::daemon::internal
