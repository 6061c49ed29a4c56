#include "internal/pool_planner.hpp"

#include "internal/clock.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattanbay::daemon::internal {

namespace {

/// Minimum interval between reports of changed schedulers of one pool.
constexpr std::chrono::seconds min_report_interval{1};
/// Maximum number of shards in a report.
constexpr std::size_t max_reported_shards = 16;

/// Reduces the members to the fields that plans depend on or that the router uses, so that changes of other
/// fields cause no new plan.
std::vector<peer::member_record> candidates_of(const std::vector<peer::member_record>& members) {
    std::vector<peer::member_record> out;
    for (const peer::member_record& member : members) {
        if (membership::is_eligible(member)) {
            peer::member_record row;
            row.id = member.id;
            row.vm = member.vm;
            row.peer_address = member.peer_address;
            row.revision = 1;
            row.processor_percent = member.processor_percent;
            out.push_back(row);
        }
    }
    return out;
}

std::string to_text(const membership::pool_plan& plan) {
    constexpr std::uint64_t microseconds_per_percent = 10'000;
    std::string out;
    const std::size_t count = std::min(max_reported_shards, plan.shards.size());
    for (std::size_t n = 0; n < count; ++n) {
        const membership::pool_shard& shard = plan.shards[n];
        out += (out.empty() ? "" : " ") + shard.scheduler.vm.text() +
               ":endpoints=" + std::to_string(shard.endpoints.size()) +
               ",load_percent=" + std::to_string(shard.load / microseconds_per_percent) +
               ",capacity_percent=" + std::to_string(shard.scheduler.processor_percent);
    }
    return out;
}

} // namespace

pool_planner::pool_planner(shared_state& shared)
    : shared_(shared)
    , selection_(shared.id, now(), !shared.settings.seed_peers.empty()) {}

void pool_planner::update_generation() {
    bool changed = generation_ == 0;
    const std::shared_ptr<const member_view> view = shared_.members.read();
    if (view != view_) {
        view_ = view;
        selection_.observe(view->members, now());
        std::vector<peer::member_record> candidates = candidates_of(view->members);
        changed = changed || candidates != candidates_;
        candidates_ = std::move(candidates);
    }
    const std::uint64_t document_revision = shared_.relay->serving.read()->revision;
    const std::uint64_t endpoint_generation = shared_.relay->balancer.generation();
    const std::uint64_t selection_changes = selection_.refresh(now());
    changed = changed || selection_changes != selection_changes_;
    selection_changes_ = selection_changes;
    changed =
        changed || document_revision != document_revision_ || endpoint_generation != endpoint_generation_;
    document_revision_ = document_revision;
    endpoint_generation_ = endpoint_generation;
    generation_ += changed ? 1 : 0;
}

std::uint64_t pool_planner::generation() {
    update_generation();
    return generation_;
}

pool_planner::planned_pool& pool_planner::current(const base::service_name& service) {
    update_generation();
    planned_pool& pool = pools_[service];
    if (pool.generation != generation_) {
        compute(service, pool);
    }
    return pool;
}

std::shared_ptr<const membership::pool_plan> pool_planner::plan(const base::service_name& service) {
    return current(service).plan;
}

const membership::pool_shard* pool_planner::own_shard(const base::service_name& service) {
    const planned_pool& pool = current(service);
    const membership::pool_shard* const own = pool.ownership->find(shared_.id);
    return own != nullptr ? own : pool.plan->find(shared_.id);
}

std::vector<base::endpoint_id> pool_planner::take_acquired_endpoints(const base::service_name& service) {
    return std::exchange(current(service).acquired, {});
}

void pool_planner::record(const peer::member_record& member, const base::service_name& service,
                          membership::scheduler_contact contact) {
    const std::optional<base::duration> left_out = selection_.record(member.id, service, contact, now());
    if (left_out) {
        telemetry::log(telemetry::log_event::pool_scheduler_left_out,
                       {{"member", member.vm.text()},
                        {"service", service.text()},
                        {"reason", std::string(base::to_name(contact))},
                        {"for_ms", std::to_string(base::to_milliseconds(*left_out))}});
    }
}

bool pool_planner::is_settled() const {
    return selection_.is_settled(now());
}

void pool_planner::compute(const base::service_name& service, planned_pool& pool) {
    const std::shared_ptr<const relay_serving_state> serving = shared_.relay->serving.read();
    const config::relay_service* const settings = serving->find(service);
    const bool is_pool = settings != nullptr && settings->pieces;
    const std::shared_ptr<const membership::pool_plan> previous = pool.ownership;
    pool.plan = std::make_shared<membership::pool_plan>();
    if (is_pool) {
        const base::time_point time = now();
        const std::vector<relay::pool_endpoint> endpoints =
            shared_.relay->balancer.available_endpoints(service);
        const std::vector<peer::member_record> routing =
            selection_.select(candidates_, service, membership::plan_purpose::routing, time);
        const std::vector<peer::member_record> owners =
            selection_.select(candidates_, service, membership::plan_purpose::ownership, time);
        pool.plan = std::make_shared<membership::pool_plan>(
            membership::plan_pool(routing, service, *settings->pieces, endpoints));
        pool.ownership = owners == routing ? pool.plan
                                           : std::make_shared<membership::pool_plan>(membership::plan_pool(
                                                 owners, service, *settings->pieces, endpoints));
    } else {
        pool.ownership = pool.plan;
    }
    pool.generation = generation_;
    if (previous) {
        update_acquired(pool, *previous);
    }
    const membership::pool_shard* const own = pool.ownership->find(shared_.id);
    shared_.metrics.set_scheduled_endpoints(service, own != nullptr ? own->endpoints.size() : 0);
}

void pool_planner::update_acquired(planned_pool& pool, const membership::pool_plan& previous) const {
    const membership::pool_shard* const own = pool.ownership->find(shared_.id);
    if (own == nullptr) {
        pool.acquired.clear();
        return;
    }
    for (const relay::pool_endpoint& endpoint : own->endpoints) {
        const auto it = previous.shard_by_address.find(endpoint.address);
        if (it != previous.shard_by_address.end() && previous.shards[it->second].scheduler.id != shared_.id) {
            pool.acquired.push_back(endpoint.id);
        }
    }
}

void pool_planner::report(const base::service_name& service, planned_pool& pool) {
    std::vector<base::address> schedulers;
    std::ranges::transform(pool.plan->shards, std::back_inserter(schedulers),
                           [](const membership::pool_shard& shard) { return shard.scheduler.peer_address; });
    const base::time_point time = now();
    const bool is_recent = pool.reported_at && time - *pool.reported_at < min_report_interval;
    if (schedulers == pool.reported_schedulers || is_recent) {
        return;
    }
    telemetry::log(telemetry::log_event::pool_schedulers_changed,
                   {{"service", service.text()},
                    {"shards", std::to_string(pool.plan->shards.size())},
                    {"schedulers", to_text(*pool.plan)}});
    pool.reported_schedulers = std::move(schedulers);
    pool.reported_at = time;
}

void pool_planner::refresh() {
    const std::shared_ptr<const relay_serving_state> serving = shared_.relay->serving.read();
    if (!serving->routes) {
        return;
    }
    for (const auto& row : serving->routes->document().services) {
        if (row.second.pieces) {
            plan(row.first);
        }
    }
    for (auto& row : pools_) {
        plan(row.first);
        report(row.first, row.second);
    }
    std::erase_if(pools_, [&serving](const auto& row) { return serving->find(row.first) == nullptr; });
}

} // namespace rattanbay::daemon::internal
