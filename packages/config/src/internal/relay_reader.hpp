#pragma once

#include "internal/object_reader.hpp"

#include <rattanbay/config/relay_document.hpp>

namespace rattanbay::config::internal {

/// Reads the `relay` section of a document; errors are added to `findings`.
relay_document read_relay(const nlohmann::json& value, const std::string& pointer,
                          std::vector<finding>& findings);

} // namespace rattanbay::config::internal
