#include <installation.hpp>

namespace rattanbay::routing::experiment {

namespace {

using namespace std::chrono_literals;

/// Ratio of the rate limit of an account to its arrival rate outside bursts.
constexpr double rate_headroom = 1.5;
constexpr std::size_t account_count = 5;
/// Share of the requests that the large account sends; the other accounts send equal shares of the rest.
constexpr double large_account_share = 0.5;

} // namespace

installation installation_t() {
    return {"T",
            4,
            8,
            4ms,
            220,
            {{"encoder", config::service_kind::worker_pool, 4, 2, 20ms, false},
             {"retriever", config::service_kind::worker_pool, 4, 2, 25ms, true},
             {"reranker", config::service_kind::worker_pool, 5, 2, 30ms, true},
             {"desk", config::service_kind::plain_service, 5, 1, 30ms, true},
             {"writer", config::service_kind::model_engine, 18, 8, 400ms, true}}};
}

installation installation_z() {
    return {"Z",
            3,
            6,
            5ms,
            145,
            {{"encoder", config::service_kind::worker_pool, 3, 2, 25ms, false},
             {"retriever", config::service_kind::worker_pool, 3, 2, 25ms, true},
             {"reranker", config::service_kind::worker_pool, 5, 1, 20ms, true},
             {"desk", config::service_kind::plain_service, 5, 1, 30ms, true},
             {"writer", config::service_kind::model_engine, 12, 8, 400ms, true}}};
}

base::failure_domain domain(std::size_t n) {
    return base::failure_domain(std::string(1, static_cast<char>('a' + n)));
}

config::environment_document make_document(const installation& site, double cost_weight) {
    config::environment_document document;
    document.cost_weight = cost_weight;
    for (const service_spec& spec : site.services) {
        config::service service;
        service.name = base::service_name(spec.name);
        service.kind = spec.kind;
        service.expected_duration = spec.mean_processing_time;
        service.max_concurrency = spec.slots;
        service.reports_load = spec.reports_load;
        document.services.emplace(service.name, service);
    }
    for (std::size_t n = 0; n < account_count; ++n) {
        config::account account;
        account.name = base::account_id("account" + std::to_string(n));
        const double share = n == 0 ? large_account_share : (1 - large_account_share) / (account_count - 1);
        account.requests_per_second = site.requests_per_second * share * rate_headroom;
        account.burst = account.requests_per_second / 2;
        account.max_concurrency = 400;
        document.accounts.emplace(account.name, account);
    }
    return document;
}

object_api::vm_list make_vm_list(const installation& site) {
    object_api::vm_list list;
    list.version = {0, 1};
    // The index continues across services, so that small services do not all lack endpoints in the same
    // failure domains.
    std::size_t next_index = 0;
    for (const service_spec& spec : site.services) {
        for (std::size_t n = 0; n < spec.replicas; ++n, ++next_index) {
            const base::vm_id id(spec.name + std::to_string(n));
            const auto port = static_cast<std::uint16_t>(1000 + next_index);
            list.vms.push_back({id,
                                base::service_name(spec.name),
                                {{127, 0, 0, 1}, port},
                                domain(next_index % site.domain_count),
                                object_api::vm_state::live});
        }
    }
    return list;
}

} // namespace rattanbay::routing::experiment
