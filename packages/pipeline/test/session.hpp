#pragma once

#include <rattanbay/base.hpp>
#include <rattanbay/pipeline.hpp>

#include <cassert>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace rattanbay::pipeline::test {

using namespace std::chrono_literals;

/// One stage of a test pipeline with its service and the service's times.
struct stage_plan {
    std::string name;
    config::service_kind kind = config::service_kind::worker_pool;
    bool idempotent = true;
    service_times times{20ms, 40ms, 60ms};
};

/// Execution of `work` over the given stages; stage `x` is carried out by service `x-service`.
inline execution make_execution(request work, const std::vector<stage_plan>& stages) {
    config::pipeline plan;
    plan.name = base::pipeline_name("test");
    std::vector<config::service> services;
    std::vector<service_times> times;
    for (const stage_plan& stage : stages) {
        config::service service;
        service.name = base::service_name(stage.name + "-service");
        service.kind = stage.kind;
        service.expected_duration = stage.times.p50;
        plan.stages.push_back({stage.name, service.name, stage.idempotent});
        services.push_back(service);
        times.push_back(stage.times);
    }
    return {std::move(work), std::move(plan), std::move(services), std::move(times)};
}

/// Encode, retrieve, rerank and generate.
inline std::vector<stage_plan> four_stages() {
    return {{"encode"}, {"retrieve"}, {"rerank"}, {"generate", config::service_kind::model_engine}};
}

/// Time of a test, counted from its start.
inline base::time_point at(base::duration since_start) {
    return base::time_point(since_start);
}

/// All actions of one kind.
template <class Action> std::vector<Action> only(const std::vector<action>& actions) {
    std::vector<Action> found;
    for (const action& it : actions) {
        if (const auto* match = std::get_if<Action>(&it)) {
            found.push_back(*match);
        }
    }
    return found;
}

} // namespace rattanbay::pipeline::test
