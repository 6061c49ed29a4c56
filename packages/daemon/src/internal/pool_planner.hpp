#pragma once

#include "shared_state.hpp"

#include <rattanbay/membership.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// Keeps the plans of the worker pools, which tell the daemons that schedule them. A plan is computed again
/// when the members that can be schedulers, the document or the endpoints change, not for each stage. Runs on
/// the control strand.
class pool_planner {
public:
    explicit pool_planner(shared_state& shared);

    /// Current plan of a worker pool by which stages are given to daemons; it has no shards if the document
    /// has no such pool or this daemon knows no daemon that schedules it.
    std::shared_ptr<const membership::pool_plan> plan(const base::service_name& service);

    /// Part of a worker pool that this daemon schedules, or null if it schedules none. A pool whose scheduler
    /// is silent towards this daemon is scheduled here if this daemon is the next one. Valid until the plan
    /// changes.
    const membership::pool_shard* own_shard(const base::service_name& service);

    /// Endpoints of own shards that another daemon scheduled in the plan before and may still have calls in
    /// progress. Returns those of the last change and forgets them.
    std::vector<base::endpoint_id> take_acquired_endpoints(const base::service_name& service);

    /// Records how an attempt to give a stage to another daemon ended.
    void record(const peer::member_record& member, const base::service_name& service,
                membership::scheduler_contact contact);

    /// Whether this daemon has been there for long enough to schedule pools.
    bool is_settled() const;

    /// Number of changes of the plans so far.
    std::uint64_t generation();

    /// Brings the plans of all worker pools up to date and reports changed schedulers.
    void refresh();

private:
    /// Known plan of a pool.
    struct planned_pool {
        std::shared_ptr<const membership::pool_plan> plan;
        /// Plan by which this daemon calls endpoints; the same one if no daemon is silent.
        std::shared_ptr<const membership::pool_plan> ownership;
        std::vector<base::endpoint_id> acquired;
        std::uint64_t generation = 0;
        /// Schedulers that were last reported, and the time of the report.
        std::vector<base::address> reported_schedulers;
        std::optional<base::time_point> reported_at;
    };

    /// Increases the generation if a source of the plans changed.
    void update_generation();
    planned_pool& current(const base::service_name& service);
    void compute(const base::service_name& service, planned_pool& pool);
    void update_acquired(planned_pool& pool, const membership::pool_plan& previous) const;
    void report(const base::service_name& service, planned_pool& pool);

    shared_state& shared_;
    membership::scheduler_candidates selection_;
    std::uint64_t selection_changes_ = 0;
    /// Sources of the current plans.
    std::shared_ptr<const member_view> view_;
    std::vector<peer::member_record> candidates_;
    std::uint64_t document_revision_ = 0;
    std::uint64_t endpoint_generation_ = 0;
    std::uint64_t generation_ = 0;
    std::map<base::service_name, planned_pool> pools_;
};

} // namespace rattanbay::daemon::internal
