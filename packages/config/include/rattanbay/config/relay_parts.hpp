#pragma once

#include <rattanbay/config/document_translator.hpp>

#include <nlohmann/json_fwd.hpp>

namespace rattanbay::config {

/// Read one part of a relay section in the form of environment documents, for translators that convert their
/// platform's form to it.
part_reading<relay_route> read_relay_route(const nlohmann::json& value);
part_reading<relay_service> read_relay_service(const nlohmann::json& value);
part_reading<relay_account> read_relay_account(const nlohmann::json& value);
part_reading<client_limits> read_client_limits(const nlohmann::json& value);

} // namespace rattanbay::config
