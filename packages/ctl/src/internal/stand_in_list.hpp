#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace rattanbay::emulator {
class endpoint_service;
}

namespace rattanbay::ctl::internal {

/// Parses a VM list file: {"vms": [{"id", "service", "address", "failure_domain", "state"}]}.
base::result<std::vector<object_api::vm>> parse_vm_file(std::string_view text);

/// Starts an emulated endpoint for each VM whose service is in the document; returns `unavailable` if an
/// address cannot be bound.
base::result<std::vector<std::unique_ptr<emulator::endpoint_service>>>
start_emulated_endpoints(boost::asio::io_context& context, const std::vector<object_api::vm>& vms,
                         const config::environment_document& document);

} // namespace rattanbay::ctl::internal
