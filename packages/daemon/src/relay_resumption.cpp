#include "internal/clock.hpp"
#include "internal/relay_run.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

bool relay_run::is_target(const base::service_name& service) const {
    return std::ranges::find(input_.route->targets, service, &config::relay_target::service) !=
           input_.route->targets.end();
}

asio::awaitable<relay::resumption> relay_run::decide_resumption() {
    relay::resumption_knowledge known;
    // Without the attempt that began the stream, the others still tell which versions they know.
    const stream_lookup found =
        co_await origins_->find(input_.request.resumed_attempt.value_or(input_.request.id), service_);
    known.origin = found.origin;
    known.was_answered = found.was_answered;
    // A changed configuration may send the stream to another service, where it has no version yet.
    if (known.origin && !is_target(known.origin->service)) {
        known.origin = std::nullopt;
    }
    known.active_versions = relay_.versions.active(service_, now());
    known.knows_former_versions = relay_.knows_former_versions.load();
    if (relay::needs_current_list(known)) {
        known.is_list_current = co_await relay_.read_listed_versions();
        known.active_versions = relay_.versions.active(service_, now());
    }
    co_return relay::decide_resumption(service_, known);
}

asio::awaitable<bool> relay_run::prepare_resumption(http::responder& out) {
    if (input_.route->retry != config::retry_mode::resumable || !input_.request.last_event_id) {
        co_return true;
    }
    const relay::resumption decision = co_await decide_resumption();
    const std::optional<relay::stream_origin>& origin = decision.origin;
    const bool is_available =
        origin && relay_.balancer.has_version(origin->service, origin->software_version);
    log_resumption(decision, is_available);
    if (has_client_left()) {
        log_result("abandoned");
        co_return false;
    }
    if (!is_available) {
        std::string detail = origin
                                 ? "no endpoint of the software version that began the stream takes requests"
                                 : "the software version that began the stream is not known";
        co_await send_problem(out, base::problem_kind::no_endpoint, base::outcome::not_run,
                              std::move(detail));
        co_return false;
    }
    origin_ = origin;
    service_ = origin->service;
    if (input_.request.resumed_attempt) {
        origins_->record(*input_.request.resumed_attempt, *origin, client_deadline());
    }
    // A client may name this attempt, although it did not bring the first event.
    origins_->record(input_.request.id, *origin, client_deadline());
    co_return true;
}

void relay_run::log_resumption(const relay::resumption& decision, bool is_available) {
    const std::optional<relay::stream_origin>& origin = decision.origin;
    std::string active;
    for (const std::string& version : relay_.versions.active(service_, now())) {
        active += (active.empty() ? "" : " ") + version;
    }
    const base::duration list_age = now() - shared_.vms_confirmed_at.load();
    telemetry::log(telemetry::log_event::stream_resumption,
                   {{"request", input_.request.id.text()},
                    {"resumes", input_.request.resumed_attempt ? input_.request.resumed_attempt->text() : ""},
                    {"last_event", input_.request.last_event_id.value_or("")},
                    {"service", origin ? origin->service.text() : service_.text()},
                    {"basis", std::string(base::to_name(decision.basis))},
                    {"version", origin ? origin->software_version : ""},
                    {"result", is_available ? "allowed" : "refused"},
                    {"active_versions", active},
                    {"vm_list_age_ms", std::to_string(base::to_milliseconds(list_age))}});
    shared_.metrics.record_resumption(base::to_name(decision.basis), is_available);
}

void relay_run::record_origin(const relay_attempt& current) {
    if (origin_ || input_.route->retry != config::retry_mode::resumable) {
        return;
    }
    // An endpoint that has started again with another version may have sent the events. Nothing is known of
    // the stream then, and both versions are listed.
    if (relay_.balancer.has_chosen_version(current.endpoint)) {
        origin_ = relay::stream_origin{service_, current.endpoint.software_version};
        origins_->record(input_.request.id, *origin_, client_deadline());
    }
}

base::time_point relay_run::client_deadline() const {
    return input_.arrival + input_.request.time_left.value_or(input_.route->timeout);
}

} // namespace rattanbay::daemon::internal
