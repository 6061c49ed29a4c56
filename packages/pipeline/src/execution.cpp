#include "internal/execution_state.hpp"

#include <rattanbay/pipeline/execution.hpp>

namespace rattanbay::pipeline {

execution::execution(request req, config::pipeline pipeline_config, std::vector<config::service> services,
                     std::vector<service_times> times)
    : state_(std::make_unique<state>(std::move(req), std::move(pipeline_config), std::move(services),
                                     std::move(times))) {}

execution::execution(execution&&) noexcept = default;
execution& execution::operator=(execution&&) noexcept = default;
execution::~execution() = default;

std::vector<action> execution::handle(const event& ev, base::time_point now) {
    return state_->handle(ev, now);
}

bool execution::ended() const {
    return state_->ended();
}

} // namespace rattanbay::pipeline
