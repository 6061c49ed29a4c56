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

    /// Current plan of a worker pool; it has no shards if the document has no such pool.
    std::shared_ptr<const membership::pool_plan> plan(const base::service_name& service);

    /// Number of changes of the plans so far.
    std::uint64_t generation();

    /// Brings the plans of all worker pools up to date and reports changed schedulers.
    void refresh();

private:
    /// Known plan of a pool.
    struct planned_pool {
        std::shared_ptr<const membership::pool_plan> plan;
        std::uint64_t generation = 0;
        /// Schedulers that were last reported, and the time of the report.
        std::vector<base::address> reported_schedulers;
        std::optional<base::time_point> reported_at;
    };

    /// Increases the generation if a source of the plans changed.
    void update_generation();
    void compute(const base::service_name& service, planned_pool& pool);
    void report(const base::service_name& service, planned_pool& pool);

    shared_state& shared_;
    /// Sources of the current plans.
    std::shared_ptr<const member_view> view_;
    std::vector<peer::member_record> candidates_;
    std::uint64_t document_revision_ = 0;
    std::uint64_t endpoint_generation_ = 0;
    std::uint64_t generation_ = 0;
    std::map<base::service_name, planned_pool> pools_;
};

} // namespace rattanbay::daemon::internal
