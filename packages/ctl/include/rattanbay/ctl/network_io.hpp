#pragma once

#include <rattanbay/ctl/command_io.hpp>

#include <memory>

namespace rattanbay::ctl {

/// Creates a `command_io` on the local file system, TCP and the system clock.
std::unique_ptr<command_io> make_network_io();

} // namespace rattanbay::ctl
