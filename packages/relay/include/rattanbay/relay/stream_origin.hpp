#pragma once

#include <rattanbay/base/identifier.hpp>

#include <string>

namespace rattanbay::relay {

/// Service at which a stream began, and the software version of the endpoint that began it. Only endpoints of
/// the same version may go on with the stream.
struct stream_origin {
    base::service_name service;
    std::string software_version;

    friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

} // namespace rattanbay::relay
