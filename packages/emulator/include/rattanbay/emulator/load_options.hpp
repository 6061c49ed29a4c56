#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/expected_output.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rattanbay::emulator {

/// Stage that generates text on a model engine.
struct generate_stage {};

/// Stage on the plain service with this name.
struct plain_stage {
    std::string service;
};

/// Properties of a stage that determine the expected output.
using expected_stage = std::variant<worker_role, generate_stage, plain_stage>;

/// Load on one pipeline.
struct pipeline_load {
    std::string name;
    /// Relative share of the requests among the pipelines.
    double weight = 1;
    bool idempotent = true;
    /// Streamed requests use `POST /v1/completions`, others `POST /v1/pipelines/{name}/runs`.
    bool stream = false;
    std::uint64_t max_tokens = 16;
    /// Sent with each request if set. The expected text uses this seed, or 0 if it is not set.
    std::optional<std::uint64_t> seed;
    base::duration deadline = std::chrono::seconds(8);
    /// Stages of the pipeline on the emulated endpoints. If empty, answers are only checked for the
    /// identity of their input.
    std::vector<expected_stage> stages;
};

/// Load of one client account.
struct account_load {
    std::string token;
    /// Relative share of the requests among the accounts.
    double weight = 1;
    /// Number of callers. Each has its own entry list and connections.
    std::size_t callers = 1;
};

/// Phase with a constant mean arrival rate.
struct load_phase {
    base::duration duration{};
    /// Mean requests per second.
    double rate = 0;
};

/// Options of the load generator.
struct load_options {
    /// Seed addresses of entry VMs.
    std::vector<base::address> seeds;
    std::uint64_t seed = 1;
    std::vector<load_phase> phases;
    std::vector<account_load> accounts;
    std::vector<pipeline_load> pipelines;
    /// Maximum time without data from an entry VM before the request is sent to another one.
    base::duration inactivity_timeout = std::chrono::seconds(3);
    /// Maximum number of requests in progress. Further arrivals are dropped and counted.
    std::size_t max_in_progress = 10000;

    /// Parses a JSON text: {"entries": ["127.0.0.1:8080"], "seed", "phases": [{"duration_ms",
    /// "rate"}], "accounts": [{"token", "weight", "callers"}], "pipelines": [{"name", "weight",
    /// "idempotent", "stream", "max_tokens", "seed", "deadline_ms", "stages": ["encode",
    /// "generate", "plain:order-desk"]}], "silence_limit_ms", "max_in_progress"}. Errors:
    /// `invalid_input`.
    static base::result<load_options> parse(std::string_view text);

    /// Validates the options. Errors: `invalid_input` with a message that names the invalid option.
    base::result<void> validate() const;
};

} // namespace rattanbay::emulator
