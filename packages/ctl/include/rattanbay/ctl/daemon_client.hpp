#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/ctl/command_io.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace rattanbay::ctl {

/// Address of a daemon in the entry list that callers use.
struct entry_address {
    base::address address;
    std::string failure_domain;
    std::string key_prefix;
};

/// Response to `GET /v1/entries`.
struct entry_list {
    std::vector<entry_address> entries;
    std::uint64_t max_age_ms = 0;
};

/// Request to run a pipeline, in the form that callers send.
struct sample_request {
    std::string pipeline;
    nlohmann::json input;
    /// Sent as `Idempotency-Key` unless empty.
    std::string idempotency_key;
    /// Time limit for the whole pipeline.
    base::duration deadline{};
};

/// HTTP client of one daemon. A response with an error status becomes `conflict` with the title, detail
/// and outcome of its problem document; a response that does not follow the protocol becomes
/// `protocol_violation`; other errors are those of `command_io::exchange`.
class daemon_client {
public:
    /// `token` is the bearer token of a client account, or empty.
    daemon_client(command_io& io, base::address address, std::string token = "");

    /// `GET /v1/status`. Returns the object as the daemon sent it.
    base::result<nlohmann::ordered_json> status();

    /// `GET /v1/entries`.
    base::result<entry_list> entries();

    /// `POST /v1/drain`.
    base::result<nlohmann::ordered_json> drain();

    /// `GET /v1/timeline` with the given query string. Returns the array of events.
    base::result<nlohmann::json> timeline(const std::string& query);

    /// Runs a pipeline and returns its output; a response without one is a `protocol_violation`.
    base::result<nlohmann::json> run(const sample_request& sample);

private:
    base::result<std::string> call(const std::string& method, const std::string& target,
                                   std::string body = "", http::fields extra_fields = {},
                                   base::duration head_timeout = std::chrono::seconds(5));

    command_io& io_;
    base::address address_;
    std::string token_;
};

} // namespace rattanbay::ctl
