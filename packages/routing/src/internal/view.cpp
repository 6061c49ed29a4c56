#include <rattanbay/base/hash.hpp>

#include <internal/view.hpp>

#include <algorithm>
#include <optional>

namespace rattanbay::routing::internal {

namespace {

constexpr std::uint32_t min_latency_samples = 8;
/// Larger differences are caused by the calls themselves, not by the network.
constexpr std::int64_t max_extra_latency_us = 200'000;

template <class Map, class Key>
typename Map::mapped_type find_or_create(const Map& existing, const Key& key) {
    const auto it = existing.find(key);
    return it != existing.end() ? it->second : std::make_shared<typename Map::mapped_type::element_type>();
}

/// Whether the measurements of the endpoint still apply, as it is the same process.
bool is_same_process(const endpoint& before, const endpoint& after) {
    const bool relisted =
        before.state == object_api::vm_state::leaving && after.state == object_api::vm_state::live;
    return before.address == after.address && before.failure_domain == after.failure_domain && !relisted;
}

std::shared_ptr<endpoint_state> reuse_or_create_state(const endpoint& info, const base::service_name& service,
                                                      const routing_view& previous) {
    const routing_view::lookup_result existing = previous.find(info.id);
    if (!existing.endpoint) {
        return find_or_create(previous.retired, info.id);
    }
    if (existing.service->settings.name != service || !is_same_process(existing.endpoint->info, info)) {
        existing.service->state->reset_endpoint(*existing.endpoint->state);
    }
    return existing.endpoint->state;
}

void build_service(routing_view& next, const service_endpoints& source, const routing_view& previous) {
    const service_entry* previous_entry = previous.find(source.settings.name);
    service_entry& service = next.services[source.settings.name];
    service.settings = source.settings;
    service.state = previous_entry ? previous_entry->state : std::make_shared<service_state>();
    service.state->set_endpoint_count(source.endpoints.size());
    if (previous_entry) {
        service.min_latencies = previous_entry->min_latencies;
    }
    for (const endpoint& info : source.endpoints) {
        endpoint_entry entry{
            info, base::fast_hash(info.id.text()).low, info.failure_domain != next.local_domain, {}, {}, {}};
        entry.state = reuse_or_create_state(info, service.settings.name, previous);
        entry.domain =
            next.domains
                .try_emplace(info.failure_domain, find_or_create(previous.domains, info.failure_domain))
                .first->second;
        entry.min_latency =
            service.min_latencies.try_emplace(info.failure_domain, std::make_shared<min_latency_tracker>())
                .first->second;
        std::vector<endpoint_entry>& group = entry.crosses_domain ? service.remote : service.local;
        group.push_back(std::move(entry));
    }
    for (const std::vector<endpoint_entry>* group : {&service.local, &service.remote}) {
        for (const endpoint_entry& entry : *group) {
            next.endpoints.emplace(entry.info.id, routing_view::lookup_result{&service, &entry});
        }
    }
}

void retire_removed_endpoints(routing_view& next, const routing_view& previous) {
    next.retired = previous.retired;
    for (const auto& [id, removed] : previous.endpoints) {
        if (!next.endpoints.contains(id)) {
            removed.service->state->reset_endpoint(*removed.endpoint->state);
            next.retired.emplace(id, removed.endpoint->state);
        }
    }
    std::erase_if(next.retired, [&next](const auto& item) {
        return item.second->outstanding.load(std::memory_order_relaxed) == 0 ||
               next.endpoints.contains(item.first);
    });
}

} // namespace

bool min_latency_tracker::measured() const {
    return sample_count.load(std::memory_order_relaxed) >= min_latency_samples;
}

bool min_latency_tracker::record(base::duration latency) {
    const bool became_measured =
        sample_count.load(std::memory_order_relaxed) < min_latency_samples &&
        sample_count.fetch_add(1, std::memory_order_relaxed) + 1 >= min_latency_samples;
    std::int64_t current = min_us.load(std::memory_order_relaxed);
    while (latency.count() < current) {
        if (min_us.compare_exchange_weak(current, latency.count(), std::memory_order_relaxed)) {
            return measured();
        }
    }
    return became_measured;
}

double service_entry::typical_processing_time_us() const {
    const base::duration median = state->processing_times.percentiles().p50;
    return static_cast<double>((median.count() > 0 ? median : settings.expected_duration).count());
}

std::shared_ptr<const routing_view> routing_view::build(const endpoint_table& table,
                                                        const routing_view& previous) {
    auto next = std::make_shared<routing_view>();
    next->local_domain = previous.local_domain;
    next->cost_weight = table.cost_weight();
    for (const auto& [name, source] : table.services()) {
        build_service(*next, source, previous);
    }
    retire_removed_endpoints(*next, previous);
    return next;
}

const service_entry* routing_view::find(const base::service_name& service) const {
    const auto it = services.find(service);
    return it == services.end() ? nullptr : &it->second;
}

routing_view::lookup_result routing_view::find(const base::endpoint_id& endpoint) const {
    const auto it = endpoints.find(endpoint);
    return it == endpoints.end() ? lookup_result{} : it->second;
}

void routing_view::update_extra_latencies() const {
    for (const auto& [name, domain] : domains) {
        std::optional<std::int64_t> min_difference_us;
        for (const auto& [service_name, service] : services) {
            const auto remote = service.min_latencies.find(name);
            const auto local = service.min_latencies.find(local_domain);
            if (remote == service.min_latencies.end() || local == service.min_latencies.end() ||
                !remote->second->measured() || !local->second->measured()) {
                continue;
            }
            const std::int64_t difference_us = remote->second->min_us.load(std::memory_order_relaxed) -
                                               local->second->min_us.load(std::memory_order_relaxed);
            min_difference_us = std::min(min_difference_us.value_or(difference_us), difference_us);
        }
        if (min_difference_us) {
            domain->extra_latency_us.store(
                std::clamp<std::int64_t>(*min_difference_us, 0, max_extra_latency_us),
                std::memory_order_relaxed);
        }
    }
}

} // namespace rattanbay::routing::internal
