#include "internal/shared_state.hpp"

#include <cassert>
#include <random>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::size_t timeline_capacity = 65536;

std::uint64_t random_seed() {
    std::random_device device;
    constexpr unsigned word_bits = 32;
    return (static_cast<std::uint64_t>(device()) << word_bits) | device();
}

} // namespace

shared_state::shared_state(asio::io_context& io, config::settings daemon_settings,
                           base::incarnation incarnation_id, platform_protocols chosen_protocols,
                           std::shared_ptr<daemon_resources> budgets)
    : context(io)
    , settings(std::move(daemon_settings))
    , id(incarnation_id)
    , protocols(std::move(chosen_protocols))
    , serving(std::make_shared<serving_state>())
    , members(std::make_shared<member_view>())
    , vms(std::make_shared<object_api::vm_list>())
    , router(settings.failure_domain)
    , resources(budgets ? std::move(budgets) : std::make_shared<daemon_resources>(settings))
    , endpoint_pool(http::descriptor_source{&resources->descriptors, http::descriptor_use::endpoints})
    , responses(resources->responses)
    , timeline(timeline_capacity)
    , seed_counter(random_seed()) {
    if (settings.relay) {
        assert(protocols.relay);
        relay = std::make_unique<relay_state>(*settings.relay, settings.failure_domain, protocols.relay,
                                              *resources, next_seed());
    }
    resources->descriptors.on_shortage([this](std::size_t count) {
        std::size_t closed = endpoint_pool.close_oldest(count);
        closed += relay ? relay->pool.close_oldest(count - closed) : 0;
        resources->closed_idle.fetch_add(closed);
        return closed;
    });
}

std::string shared_state::unique_suffix() {
    constexpr std::size_t id_digits = 12;
    return id.text().substr(0, id_digits) + "-" + std::to_string(request_counter.fetch_add(1));
}

void shared_state::record(const base::request_id& request, telemetry::timeline_event event,
                          telemetry::event_fields fields) {
    timeline.record(telemetry::timeline_entry{telemetry::wall_clock_us(), request, event, std::move(fields)});
}

std::optional<std::string> shared_state::refusal_reason() const {
    if (!serving.read()->document) {
        return "this VM has no environment document yet";
    }
    if (isolated.load()) {
        return "this VM reaches neither the platform nor another VM, so it cannot know the document in force";
    }
    if (verifying.load()) {
        return "this VM was paused and verifies its environment document";
    }
    return std::nullopt;
}

} // namespace rattanbay::daemon::internal
