#pragma once

#include "control_plane.hpp"
#include "shared_state.hpp"

#include <rattanbay/http/message.hpp>

namespace rattanbay::daemon::internal {

/// Answer to GET /v1/entries: the addresses that a caller is told to use, best first, with the
/// prefix for keys of each.
http::response entry_list(shared_state& shared, const control_plane& control_plane);

} // namespace rattanbay::daemon::internal
