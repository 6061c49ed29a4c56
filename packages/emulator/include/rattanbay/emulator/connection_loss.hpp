#pragma once

#include <rattanbay/base/address.hpp>

#include <cstddef>

namespace rattanbay::emulator {

/// Whether this process may lose connections; needs CAP_NET_ADMIN.
bool can_lose_connections();

/// Loses the connections of this process that were accepted at an address, as a crash of their machine does:
/// the other sides are not told, and what they send later is answered with a reset. Returns the number of
/// connections lost.
std::size_t lose_connections(const base::address& local_address);

} // namespace rattanbay::emulator
