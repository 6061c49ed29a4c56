#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace rattanbay::http {

/// Time without received data after which the other side of a connection is probed, and the interval of the
/// probes.
inline constexpr std::chrono::seconds probe_interval{1};
/// Number of consecutive probes without a reply after which a connection is broken, one interval after the
/// last of them. A sound machine may be silent or cut off for a second or so and go on.
inline constexpr int max_unanswered_probes = 4;

/// Makes the operating system probe the other side of a connected socket while no data arrives. A machine
/// that has lost the connection resets it, for example after its process crashed without closing it and was
/// started again; otherwise operations would wait for their whole timeout. Errors are ignored, as timeouts
/// bound the operations in any case.
void enable_liveness_probes(boost::asio::ip::tcp::socket& socket);

} // namespace rattanbay::http
