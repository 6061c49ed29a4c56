#pragma once

#include <string>

namespace rattanbay::routing::experiment {

/// Simulates the rate limit of one client account on 8 VMs, whose shares of the limit are adjusted by gossip,
/// for several distributions of its requests. Returns a Markdown table of the admitted requests.
std::string account_share_table();

} // namespace rattanbay::routing::experiment
