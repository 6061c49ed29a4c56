#include "internal/pool_planner.hpp"

#include "internal/clock.hpp"

#include <algorithm>
#include <iterator>

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
    : shared_(shared) {}

void pool_planner::update_generation() {
    bool changed = generation_ == 0;
    const std::shared_ptr<const member_view> view = shared_.members.read();
    if (view != view_) {
        view_ = view;
        std::vector<peer::member_record> candidates = candidates_of(view->members);
        changed = changed || candidates != candidates_;
        candidates_ = std::move(candidates);
    }
    const std::uint64_t document_revision = shared_.relay->serving.read()->revision;
    const std::uint64_t endpoint_generation = shared_.relay->balancer.generation();
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

std::shared_ptr<const membership::pool_plan> pool_planner::plan(const base::service_name& service) {
    update_generation();
    planned_pool& pool = pools_[service];
    if (pool.generation != generation_) {
        compute(service, pool);
    }
    return pool.plan;
}

void pool_planner::compute(const base::service_name& service, planned_pool& pool) {
    const std::shared_ptr<const relay_serving_state> serving = shared_.relay->serving.read();
    const config::relay_service* const settings = serving->find(service);
    const bool is_pool = settings != nullptr && settings->pieces;
    pool.plan = std::make_shared<membership::pool_plan>(
        is_pool ? membership::plan_pool(candidates_, service, *settings->pieces,
                                        shared_.relay->balancer.available_endpoints(service))
                : membership::pool_plan{});
    pool.generation = generation_;
    const membership::pool_shard* const own = pool.plan->find(shared_.id);
    shared_.metrics.set_scheduled_endpoints(service, own != nullptr ? own->endpoints.size() : 0);
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
