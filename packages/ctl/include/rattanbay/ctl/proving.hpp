#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/config/proof.hpp>
#include <rattanbay/ctl/command_io.hpp>
#include <rattanbay/ctl/exit_code.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace rattanbay::ctl {

/// Parameters of a trial run.
struct trial_options {
    std::string environment;
    /// Operator addresses of the trial daemons; not empty.
    std::vector<base::address> daemons;
    /// Bearer token of a client account in the document.
    std::string token;
    /// Sample inputs by pipeline name; a pipeline without one receives an empty object.
    std::map<std::string, nlohmann::json> inputs;
    /// Time limit for all daemons to adopt the document.
    base::duration adoption_timeout{};
    /// Suffix that makes the idempotency keys of this run unique.
    std::string key_suffix;
};

/// Result of a trial run: a proof, or the reasons why there is none.
struct trial_result {
    exit_code code = exit_code::success;
    config::proof proof;
    std::vector<std::string> reasons;
};

/// Waits until every daemon reports the document as in force, then sends one sample request to each
/// pipeline through the entry addresses that callers use.
trial_result run_trial(const config::environment_document& document, const trial_options& options,
                       command_io& io);

} // namespace rattanbay::ctl
