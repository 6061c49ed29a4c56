#pragma once

#include <rattanbay/routing.hpp>

#include <array>
#include <string>
#include <vector>

namespace rattanbay::routing::test {

using namespace std::chrono_literals;

inline const base::service_name writer("writer");

/// Builds an endpoint table from a VM list and a document with one service. Endpoints are named
/// "<domain><number>".
class table_builder {
public:
    explicit table_builder(bool reports_load = true) {
        config::service settings;
        settings.name = writer;
        settings.kind = config::service_kind::model_engine;
        settings.expected_duration = 20ms;
        settings.max_concurrency = 4;
        settings.reports_load = reports_load;
        document.services.emplace(writer, settings);
    }

    /// Adds `count` endpoints in the failure domain.
    table_builder& add(const std::string& domain, std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            const auto port = static_cast<std::uint16_t>(1000 + vms.vms.size());
            const base::vm_id id(domain + std::to_string(n));
            vms.vms.push_back({id, writer, {{127, 0, 0, 1}, port}, base::failure_domain(domain), {}});
        }
        return *this;
    }

    endpoint_table build() const { return endpoint_table(vms, document); }

    object_api::vm_list vms;
    config::environment_document document;
};

inline const base::time_point start_time{base::duration(1'000'000'000)};

inline base::endpoint_id id(const std::string& text) {
    return base::endpoint_id(text);
}

/// Selects an endpoint for a first attempt.
inline std::optional<route> choose(router& router, base::time_point now, base::random_source& random) {
    route_request request;
    request.service = writer;
    request.time_left = 1s;
    return router.choose(request, now, random);
}

/// Reports the start of a call and its end with `result` after `latency`.
inline void complete_call(router& router, const base::endpoint_id& endpoint, pipeline::attempt_result result,
                          base::duration latency, base::time_point now) {
    router.attempt_started(endpoint);
    router.attempt_ended(endpoint, result, latency, now);
}

/// Reports three consecutive failures, which eject an endpoint unless the limit on ejections prevents it.
inline void fail_three_times(router& router, const base::endpoint_id& endpoint, base::time_point now) {
    for (int n = 0; n < 3; ++n) {
        complete_call(router, endpoint, pipeline::attempt_result::failed, 1ms, now);
    }
}

} // namespace rattanbay::routing::test
