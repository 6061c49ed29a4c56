#include "internal/input_stages.hpp"

#include "internal/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// How much earlier than necessary a stage begins whose results are needed only with those of a
/// longer chain; results take up room at the endpoints that make them until they are used.
constexpr std::chrono::milliseconds early_begin{150};
/// Time of a request's way to its endpoint and of the endpoint's calls to the holders of the results.
constexpr std::chrono::milliseconds fetch_margin{60};
/// A result passes the links of its holder and of the endpoint.
constexpr double links_of_a_fetch = 2;

} // namespace

input_stages::input_stages(std::shared_ptr<piece_router> pieces, asio::any_io_executor executor,
                           stage_plan plan)
    : router_(std::move(pieces))
    , executor_(executor)
    , plan_(std::move(plan))
    , progress_(executor)
    , stages_(plan_.route->stages.size()) {
    const std::vector<std::size_t>& counts = plan_.request->piece_counts;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        stages_[n].pieces = n < counts.size() ? counts[n] : 0;
        stages_[n].made = stages_[n].pieces == 0;
    }
    std::vector<std::size_t> piece_counts;
    for (const stage_state& row : stages_) {
        piece_counts.push_back(row.pieces);
    }
    const std::vector<relay::stage_estimate> times = relay::estimate_stage_times(
        plan_.route->stages, piece_counts, plan_.serving->routes->document().services);
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        stages_[n].time = times[n];
    }
}

asio::awaitable<std::optional<relay::piece_failure>> input_stages::make() {
    const std::shared_ptr<input_stages> self = shared_from_this();
    start_ = now();
    begin_ready_stages();
    while (!is_whole() && !failure_ && !stopped_) {
        if (now() >= plan_.latest) {
            failure_ = relay::piece_failure::deadline_exceeded;
            break;
        }
        progress_.expires_at(to_steady(plan_.latest));
        boost::system::error_code ignored;
        co_await progress_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return failure_;
}

void input_stages::stop() {
    stopped_ = true;
    progress_.cancel();
}

bool input_stages::is_needed(std::size_t stage) const {
    for (std::size_t other = 0; other < stages_.size(); ++other) {
        if (relay::is_dependency_of(plan_.route->stages, stage, other)) {
            return true;
        }
    }
    return false;
}

bool input_stages::is_whole() const {
    return std::ranges::all_of(stages_, [](const stage_state& row) { return row.made; });
}

void input_stages::begin_ready_stages() {
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        const std::vector<std::size_t>& after = plan_.route->stages[n].depends_on;
        const bool ready =
            std::ranges::all_of(after, [this](std::size_t needed) { return stages_[needed].made; });
        if (!stages_[n].begun && !stages_[n].made && ready && is_time_for(n)) {
            begin(n);
        }
    }
}

bool input_stages::is_time_for(std::size_t stage) const {
    base::duration others{};
    for (std::size_t other = 0; other < stages_.size(); ++other) {
        const bool open = other != stage && !stages_[other].made &&
                          !relay::is_dependency_of(plan_.route->stages, stage, other);
        if (open) {
            others = std::max(others, stages_[other].time.unloaded.total());
        }
    }
    return stages_[stage].time.unloaded.total() + early_begin >= others;
}

void input_stages::begin(std::size_t stage) {
    const config::relay_stage& settings = plan_.route->stages[stage];
    stage_state& state = stages_[stage];
    state.begun = true;
    state.begin_time = now();
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
    request.near = place_of(request.order);
    request.due = plan_.due - state.time.loaded.total();
    request.latest = plan_.latest - state.time.unloaded.total();
    const std::shared_ptr<input_stages> self = shared_from_this();
    router_->make(std::move(request), [self, stage](const stage_result& result) {
        asio::post(self->executor_, [self, stage, result]() { self->take(stage, result); });
    });
}

base::failure_domain input_stages::place_of(const relay::stage_order& order) const {
    // Each piece fetches all inputs, and its result is fetched once.
    if (order.input_bytes <= order.result_bytes) {
        return plan_.near;
    }
    // The pieces of a stage mostly share a call, so that the first input tells where the others are.
    const std::optional<base::address> holder = plan_.relay->protocol->result_holder(order.inputs.front());
    return holder ? plan_.relay->balancer.failure_domain_at(*holder) : plan_.near;
}

void input_stages::take(std::size_t stage, const stage_result& result) {
    if (result) {
        stages_[stage].handles = *result;
        stages_[stage].made = true;
        stages_[stage].end_time = now();
    } else if (!failure_) {
        failure_ = result.error();
    }
    if (stopped_ || failure_) {
        release();
    } else {
        begin_ready_stages();
        release_used();
    }
    progress_.cancel();
}

void input_stages::release_used() {
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        bool used = is_needed(n);
        for (std::size_t other = 0; other < stages_.size(); ++other) {
            used = used && (!relay::is_dependency_of(plan_.route->stages, n, other) || stages_[other].made);
        }
        if (used) {
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

std::vector<std::string> input_stages::inputs() const {
    std::vector<std::string> out;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (!is_needed(n)) {
            out.insert(out.end(), stages_[n].handles.begin(), stages_[n].handles.end());
        }
    }
    return out;
}

base::duration input_stages::fetch_time() const {
    constexpr double bits_per_byte = 8;
    constexpr double bits_per_ms_and_mbps = 1000;
    double ms = 0;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        const config::relay_stage& settings = plan_.route->stages[n];
        const config::relay_service* const service = plan_.serving->find(settings.service);
        if (!is_needed(n) && service != nullptr && service->pieces &&
            service->pieces->result_bandwidth_mbps > 0) {
            const double bits =
                static_cast<double>(settings.result_bytes * stages_[n].handles.size()) * bits_per_byte;
            ms += links_of_a_fetch * bits / (service->pieces->result_bandwidth_mbps * bits_per_ms_and_mbps);
        }
    }
    return fetch_margin +
           std::chrono::duration_cast<base::duration>(std::chrono::duration<double, std::milli>(ms));
}

std::string input_stages::times() const {
    const auto ms = [this](const std::optional<base::time_point>& at) {
        const base::duration since = at.value_or(start_) - start_;
        const std::int64_t count = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
        return at ? std::to_string(count) : std::string("-");
    };
    std::string out;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        if (stages_[n].pieces > 0) {
            out += (out.empty() ? "" : " ") + std::to_string(n) + "x" + std::to_string(stages_[n].pieces) +
                   ":" + ms(stages_[n].begin_time) + ".." + ms(stages_[n].end_time);
        }
    }
    return out;
}

void input_stages::release() {
    stopped_ = true;
    for (std::size_t n = 0; n < stages_.size(); ++n) {
        release(n);
    }
}

} // namespace rattanbay::daemon::internal
