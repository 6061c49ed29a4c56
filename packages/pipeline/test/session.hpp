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

/// One stage of a test pipeline, its service and the latencies of the service.
struct test_stage {
    std::string name;
    config::service_kind kind = config::service_kind::worker_pool;
    bool idempotent = true;
    service_times times{20ms, 40ms, 60ms};
};

/// Creates an execution of `req`. Stage `x` uses service `x-service`.
inline execution make_execution(request req, const std::vector<test_stage>& stages) {
    config::pipeline pipeline_config;
    pipeline_config.name = base::pipeline_name("test");
    std::vector<config::service> services;
    std::vector<service_times> times;
    for (const test_stage& stage : stages) {
        config::service service;
        service.name = base::service_name(stage.name + "-service");
        service.kind = stage.kind;
        service.expected_duration = stage.times.p50;
        pipeline_config.stages.push_back({stage.name, service.name, stage.idempotent});
        services.push_back(service);
        times.push_back(stage.times);
    }
    return {std::move(req), std::move(pipeline_config), std::move(services), std::move(times)};
}

/// Three worker pool stages and a model engine stage.
inline std::vector<test_stage> four_stages() {
    return {{"encode"}, {"retrieve"}, {"rerank"}, {"generate", config::service_kind::model_engine}};
}

/// Time point relative to the start of a test.
inline base::time_point at(base::duration since_start) {
    return base::time_point(since_start);
}

/// Returns the actions of one type, in order.
template <class Action> std::vector<Action> actions_of(const std::vector<action>& actions) {
    std::vector<Action> found;
    for (const action& it : actions) {
        if (const auto* match = std::get_if<Action>(&it)) {
            found.push_back(*match);
        }
    }
    return found;
}

} // namespace rattanbay::pipeline::test
