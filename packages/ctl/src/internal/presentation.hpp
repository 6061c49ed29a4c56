#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/config/promotion.hpp>
#include <rattanbay/ctl/checking.hpp>
#include <rattanbay/ctl/daemon_client.hpp>
#include <rattanbay/ctl/proving.hpp>
#include <rattanbay/ctl/report.hpp>
#include <rattanbay/ctl/timeline.hpp>

#include <string>
#include <vector>

namespace rattanbay::ctl::internal {

/// Status of one daemon, or the error of the call.
struct daemon_status {
    base::address address;
    base::result<nlohmann::ordered_json> status;
};

/// Document, environment and result of a publication.
struct publication_outcome {
    std::string environment;
    std::uint64_t revision = 0;
    std::string sha256;
    config::publication_result result;
};

/// Builds the text, JSON and exit code of a result.
report make_report(const std::vector<file_check>& checks);
report make_report(const publication_outcome& published);
report make_report(const trial_result& trial, const config::publication_result& proof);
report make_report(const std::vector<daemon_status>& daemons);
report make_report(const base::address& daemon, const base::result<entry_list>& entries);
report make_drain_report(const base::address& daemon, const base::result<nlohmann::ordered_json>& answer);
report make_report(const timeline& merged);

} // namespace rattanbay::ctl::internal
