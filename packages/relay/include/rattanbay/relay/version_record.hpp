#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <string>

namespace rattanbay::relay {

/// A software version that may have begun a stream of a service that is still alive, as told to other
/// daemons.
struct version_record {
    base::service_name service;
    std::string software_version;
    /// Time for which the version stays active if it is listed no more.
    base::duration time_left{};

    friend bool operator==(const version_record&, const version_record&) = default;
};

} // namespace rattanbay::relay
