#pragma once

#include <rattanbay/limits.hpp>
#include <rattanbay/routing.hpp>

#include <endpoint_model.hpp>
#include <event_queue.hpp>
#include <installation.hpp>
#include <measurements.hpp>
#include <scenario.hpp>
#include <workload.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanbay::routing::experiment {

/// Policy by which an entry VM selects endpoints.
enum class selection_policy { random, least_outstanding, router, router_with_affinity };

/// Policy by which an entry VM limits requests and retries: no limits and up to three retries per stage, or
/// the limits of rattanbay::limits.
enum class limit_policy { plain_retries, limits };

/// Options of one run.
struct run_options {
    installation site;
    scenario conditions;
    selection_policy selection = selection_policy::router;
    limit_policy limits = limit_policy::limits;
    double cost_weight = 0;
    std::uint64_t seed = 1;
};

/// Discrete-event simulation of entry VMs, endpoints and callers. The entry VMs use the real router and
/// limits; endpoints, network and the other parts of an entry VM are models.
class simulation {
public:
    explicit simulation(run_options options);

    /// Runs until all requests have ended.
    measurements run();

private:
    struct entry_vm {
        std::unique_ptr<routing::router> router;
        limits::account_limits accounts;
        std::unique_ptr<limits::admission_controller> admission;
        std::map<base::service_name, limits::retry_budget> retry_budgets;
        std::vector<int> outstanding;
        std::optional<base::random_source> random;
        base::failure_domain domain;
        bool lost = false;
    };

    struct request_state {
        arrival source;
        std::size_t vm_index = 0;
        base::time_point deadline;
        std::size_t stage = 0;
        std::uint32_t stage_attempts = 0;
        bool hedged = false;
        bool running = false;
        bool ended = false;
        std::vector<base::endpoint_id> tried_endpoints;
        std::vector<call_ptr> calls;
        double useful_time_us = 0;
        std::optional<limits::permit> permit;
    };

    /// Creates the endpoints and entry VMs and publishes the first VM list.
    void initialize();
    void schedule_faults();
    void apply_fault(const fault& injected, bool active);
    void set_domain_lost(const base::failure_domain& domain, bool lost);
    void publish();
    void report_loads();

    void on_arrival(std::uint64_t id);
    void apply(const limits::admission_decisions& decisions);
    void refuse(std::uint64_t id);
    void start_stage(std::uint64_t id);
    bool send(std::uint64_t id, pipeline::attempt_purpose purpose);
    std::optional<std::size_t> choose(const request_state& request, pipeline::attempt_purpose purpose);
    std::optional<std::size_t> choose_baseline(const request_state& request);
    void schedule_hedge(std::uint64_t id);
    void schedule_response_timeout(const call_ptr& sent);
    void on_result(const call_ptr& finished, pipeline::attempt_result result);
    void end_call(const call_ptr& target, pipeline::attempt_result result);
    void retry(std::uint64_t id, pipeline::attempt_result failure);
    void advance(std::uint64_t id, const call_ptr& finished);
    void cancel_calls(std::uint64_t id);
    void finish(std::uint64_t id, bool attained);

    const std::vector<std::string>& stages_of(const request_state& request) const;
    base::service_name service_of(const request_state& request) const;

    /// Returns the sum of the median latencies of all stages of the request.
    base::duration sum_of_medians(const request_state& request);

    base::duration one_way_delay(const entry_vm& vm, const endpoint_model& endpoint) const;

    base::request_id request_id_of(std::uint64_t id) const { return base::request_id(std::to_string(id)); }

    entry_vm& vm_of(const request_state& request) { return *vms_[request.vm_index]; }

    run_options options_;
    event_queue events_;
    config::environment_document document_;
    object_api::vm_list vm_list_;
    std::vector<std::unique_ptr<endpoint_model>> endpoints_;
    std::unordered_map<base::endpoint_id, std::size_t> endpoint_indices_;
    /// Whether the VM list contains each endpoint.
    std::vector<bool> listed_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::vector<request_state> requests_;
    measurements result_;
};

} // namespace rattanbay::routing::experiment
