#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/pipeline/action.hpp>
#include <rattanbay/pipeline/event.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::pipeline {

/// Latency percentiles of a service, used for deadline budgets and hedging.
struct service_times {
    base::duration p50{};
    base::duration p90{};
    base::duration p95{};
};

/// A request to execute.
struct request {
    base::request_id id;
    /// Set for a non-idempotent request; forwarded to endpoints for information.
    std::optional<std::string> idempotency_key;
    /// Input of the first stage as JSON text.
    std::string input;
    /// Whether the last stage's tokens are emitted as they arrive. Requires a model engine as the last
    /// stage; otherwise only `complete` is returned.
    bool streamed = false;
    std::uint64_t max_tokens = 0;
    std::optional<std::uint64_t> seed;
    int priority = 0;
    base::time_point deadline;
};

/// State machine of one request on one VM. Not thread-safe. Each call of `handle` takes an event and
/// the time at which it occurred, and returns the actions to perform, in order. Late events of ended or
/// cancelled attempts are ignored.
class execution {
public:
    /// The pipeline must have at least one stage. `services` and `times` have one element per stage, in
    /// stage order.
    execution(request req, config::pipeline pipeline_config, std::vector<config::service> services,
              std::vector<service_times> times);
    execution(execution&&) noexcept;
    execution& operator=(execution&&) noexcept;
    ~execution();

    std::vector<action> handle(const event& ev, base::time_point now);

    /// Whether a `complete` or `fail` action was returned.
    bool ended() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace rattanbay::pipeline
