#include <rattanbay/base/hash.hpp>

#include <internal/view.hpp>

#include <algorithm>
#include <optional>

namespace rattanbay::routing::internal {

namespace {

constexpr std::uint32_t calls_until_measured = 8;
/// Longer differences come from the calls, not from the way.
constexpr std::int64_t longest_distance_us = 200'000;

template <class Map, class Key> typename Map::mapped_type shared_or_new(const Map& known, const Key& key) {
    const auto it = known.find(key);
    return it != known.end() ? it->second : std::make_shared<typename Map::mapped_type::element_type>();
}

/// Whether what was measured of the endpoint is still about the same process.
bool same_endpoint(const endpoint& before, const endpoint& after) {
    const bool returned =
        before.state == object_api::vm_state::leaving && after.state == object_api::vm_state::live;
    return before.address == after.address && before.failure_domain == after.failure_domain && !returned;
}

std::shared_ptr<endpoint_state> state_for(const endpoint& listed, const base::service_name& service,
                                          const view& old) {
    const view::position before = old.find(listed.id);
    if (!before.endpoint) {
        return shared_or_new(old.retired, listed.id);
    }
    if (before.service->settings.name != service || !same_endpoint(before.endpoint->listed, listed)) {
        before.service->state->removed(*before.endpoint->state);
    }
    return before.endpoint->state;
}

void build_service(view& next, const service_endpoints& source, const view& old) {
    const service_view* before = old.find(source.settings.name);
    service_view& service = next.services[source.settings.name];
    service.settings = source.settings;
    service.state = before ? before->state : std::make_shared<service_state>();
    service.state->resize(source.endpoints.size());
    if (before) {
        service.smallest = before->smallest;
    }
    for (const endpoint& listed : source.endpoints) {
        entry built{
            listed, base::fast_hash(listed.id.text()).low, listed.failure_domain != next.local, {}, {}, {}};
        built.state = state_for(listed, service.settings.name, old);
        built.domain =
            next.domains.try_emplace(listed.failure_domain, shared_or_new(old.domains, listed.failure_domain))
                .first->second;
        built.smallest =
            service.smallest.try_emplace(listed.failure_domain, std::make_shared<smallest_time>())
                .first->second;
        std::vector<entry>& side = built.crosses ? service.remote : service.local;
        side.push_back(std::move(built));
    }
    for (const std::vector<entry>* side : {&service.local, &service.remote}) {
        for (const entry& built : *side) {
            next.endpoints.emplace(built.listed.id, view::position{&service, &built});
        }
    }
}

void retire(view& next, const view& old) {
    next.retired = old.retired;
    for (const auto& [id, before] : old.endpoints) {
        if (!next.endpoints.contains(id)) {
            before.service->state->removed(*before.endpoint->state);
            next.retired.emplace(id, before.endpoint->state);
        }
    }
    std::erase_if(next.retired, [&next](const auto& row) {
        return row.second->outstanding.load(std::memory_order_relaxed) == 0 ||
               next.endpoints.contains(row.first);
    });
}

} // namespace

bool smallest_time::measured() const {
    return calls.load(std::memory_order_relaxed) >= calls_until_measured;
}

bool smallest_time::record(base::duration took) {
    const bool became_measured = calls.load(std::memory_order_relaxed) < calls_until_measured &&
                                 calls.fetch_add(1, std::memory_order_relaxed) + 1 >= calls_until_measured;
    std::int64_t known = time.load(std::memory_order_relaxed);
    while (took.count() < known) {
        if (time.compare_exchange_weak(known, took.count(), std::memory_order_relaxed)) {
            return measured();
        }
    }
    return became_measured;
}

double service_view::typical_time() const {
    const base::duration median = state->work_times.percentiles().p50;
    return static_cast<double>((median.count() > 0 ? median : settings.expected_duration).count());
}

std::shared_ptr<const view> view::build(const endpoint_table& table, const view& old) {
    auto next = std::make_shared<view>();
    next->local = old.local;
    next->cost_weight = table.cost_weight();
    for (const auto& [name, source] : table.services()) {
        build_service(*next, source, old);
    }
    retire(*next, old);
    return next;
}

const service_view* view::find(const base::service_name& service) const {
    const auto it = services.find(service);
    return it == services.end() ? nullptr : &it->second;
}

view::position view::find(const base::endpoint_id& endpoint) const {
    const auto it = endpoints.find(endpoint);
    return it == endpoints.end() ? position{} : it->second;
}

void view::update_distances() const {
    for (const auto& [name, domain] : domains) {
        std::optional<std::int64_t> smallest_difference;
        for (const auto& [service_name, service] : services) {
            const auto there = service.smallest.find(name);
            const auto here = service.smallest.find(local);
            if (there == service.smallest.end() || here == service.smallest.end() ||
                !there->second->measured() || !here->second->measured()) {
                continue;
            }
            const std::int64_t difference = there->second->time.load(std::memory_order_relaxed) -
                                            here->second->time.load(std::memory_order_relaxed);
            smallest_difference = std::min(smallest_difference.value_or(difference), difference);
        }
        if (smallest_difference) {
            domain->distance.store(std::clamp<std::int64_t>(*smallest_difference, 0, longest_distance_us),
                                   std::memory_order_relaxed);
        }
    }
}

} // namespace rattanbay::routing::internal
