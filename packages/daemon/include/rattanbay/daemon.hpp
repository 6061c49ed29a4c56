#pragma once

/// The daemon of an entry VM.
///
/// Parts:
/// - daemon.hpp: start and planned stop of a daemon
/// - platform_client.hpp: platform calls over HTTP

#include <rattanbay/daemon/daemon.hpp>
#include <rattanbay/daemon/platform_client.hpp>
