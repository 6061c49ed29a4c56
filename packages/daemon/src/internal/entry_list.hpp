#pragma once

#include "control.hpp"
#include "shared_state.hpp"

#include <rattanbay/http/message.hpp>

namespace rattanbay::daemon::internal {

/// Builds the response to GET /v1/entries: the entry addresses that a caller should use, best first, each
/// with its idempotency key prefix.
http::response entry_list_response(shared_state& shared, const control_plane& control_plane);

} // namespace rattanbay::daemon::internal
