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

/// How an entry VM selects endpoints.
enum class selection_policy { random, least_outstanding, router, router_with_affinity };

/// How an entry VM limits work: no limits and up to three retries a stage, or the limits of this project.
enum class limit_policy { plain_retries, limits };

/// One run.
struct run_options {
    installation site;
    scenario script;
    selection_policy selection = selection_policy::router;
    limit_policy limits = limit_policy::limits;
    double cost_weight = 0;
    std::uint64_t seed = 1;
};

/// Entry VMs, endpoints and callers on one fake clock. The entry VMs decide with the project's router and
/// limits; the endpoints, the network and the rest of an entry VM are modelled.
class simulation {
public:
    explicit simulation(run_options options);

    /// Runs all arrivals to their end.
    measurements run();

private:
    struct entry_vm {
        std::unique_ptr<routing::router> routes;
        limits::account_limits accounts;
        std::unique_ptr<limits::admission_controller> admission;
        std::map<base::service_name, limits::retry_budget> retries;
        std::vector<int> outstanding;
        std::optional<base::random_source> random;
        base::failure_domain domain;
        bool lost = false;
    };

    struct request {
        arrival origin;
        std::size_t vm = 0;
        base::time_point deadline;
        std::size_t stage = 0;
        std::uint32_t attempts_of_stage = 0;
        bool hedged = false;
        bool running = false;
        bool ended = false;
        std::vector<base::endpoint_id> tried;
        std::vector<call_pointer> calls;
        double useful_us = 0;
        std::optional<limits::permit> permit;
    };

    void set_up();
    void schedule_faults();
    void set_fault(const fault& wrong, bool begins);
    void set_domain_lost(const base::failure_domain& domain, bool lost);
    void publish();
    void report_loads();

    void arrive(std::uint64_t id);
    void apply(const limits::admission_decisions& decisions);
    void refuse(std::uint64_t id);
    void begin_stage(std::uint64_t id);
    bool send(std::uint64_t id, pipeline::attempt_purpose purpose);
    std::optional<std::size_t> choose(const request& work, pipeline::attempt_purpose purpose);
    std::optional<std::size_t> choose_baseline(const request& work);
    void schedule_hedge(std::uint64_t id);
    void schedule_silence_limit(const call_pointer& sent);
    void answered(const call_pointer& done, pipeline::attempt_result result);
    void end_call(const call_pointer& ended, pipeline::attempt_result result);
    void retry(std::uint64_t id, pipeline::attempt_result failure);
    void advance(std::uint64_t id, const call_pointer& done);
    void cancel_calls(std::uint64_t id);
    void finish(std::uint64_t id, bool attained);

    const std::vector<std::string>& stages_of(const request& work) const;
    base::service_name service_of(const request& work) const;
    base::duration median_of_rest(const request& work);
    base::duration way(const entry_vm& vm, const endpoint_model& endpoint) const;

    base::request_id name(std::uint64_t id) const { return base::request_id(std::to_string(id)); }

    entry_vm& vm_of(const request& work) { return *vms_[work.vm]; }

    run_options options_;
    event_queue events_;
    config::environment_document document_;
    object_api::vm_list vm_list_;
    std::vector<std::unique_ptr<endpoint_model>> endpoints_;
    std::unordered_map<base::endpoint_id, std::size_t> endpoint_numbers_;
    /// Endpoints that the VM list names live.
    std::vector<bool> listed_;
    std::vector<std::unique_ptr<entry_vm>> vms_;
    std::vector<request> requests_;
    measurements result_;
};

} // namespace rattanbay::routing::experiment
