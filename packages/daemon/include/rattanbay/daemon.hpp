#pragma once

/// The daemon that runs on each entry VM.
///
/// - daemon.hpp: starting and stopping a daemon
/// - platform_client.hpp: platform calls over HTTP

#include <rattanbay/daemon/daemon.hpp>
#include <rattanbay/daemon/platform_client.hpp>
