#pragma once

#include <rattanbay/routing.hpp>

#include <array>
#include <string>
#include <vector>

namespace rattanbay::routing::test {

using namespace std::chrono_literals;

inline const base::service_name writer("writer");

/// A VM list and a document with one service, whose endpoints are named "<domain><number>".
class fleet {
public:
    explicit fleet(bool reports_load = true) {
        config::service settings;
        settings.name = writer;
        settings.kind = config::service_kind::model_engine;
        settings.expected_duration = 20ms;
        settings.max_concurrency = 4;
        settings.reports_load = reports_load;
        document.services.emplace(writer, settings);
    }

    /// Adds `count` endpoints in the failure domain.
    fleet& add(const std::string& domain, std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            const auto port = static_cast<std::uint16_t>(1000 + vms.vms.size());
            const base::vm_id id(domain + std::to_string(n));
            vms.vms.push_back({id, writer, {{127, 0, 0, 1}, port}, base::failure_domain(domain), {}});
        }
        return *this;
    }

    endpoint_table table() const { return endpoint_table(vms, document); }

    object_api::vm_list vms;
    config::environment_document document;
};

inline const base::time_point start{base::duration(1'000'000'000)};

inline base::endpoint_id id(const std::string& text) {
    return base::endpoint_id(text);
}

/// Chooses for a first attempt.
inline std::optional<route> choose(router& routes, base::time_point now, base::random_source& random) {
    route_request request;
    request.service = writer;
    request.time_left = 1s;
    return routes.choose(request, now, random);
}

/// A call that ends with `result` after `took`.
inline void call(router& routes, const base::endpoint_id& endpoint, pipeline::attempt_result result,
                 base::duration took, base::time_point now) {
    routes.attempt_started(endpoint);
    routes.attempt_ended(endpoint, result, took, now);
}

/// Three failures in a row, which eject an endpoint while the bound allows it.
inline void fail_thrice(router& routes, const base::endpoint_id& endpoint, base::time_point now) {
    for (int n = 0; n < 3; ++n) {
        call(routes, endpoint, pipeline::attempt_result::failed, 1ms, now);
    }
}

} // namespace rattanbay::routing::test
