#pragma once

#include <rattanbay/base/identifier.hpp>

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Software version of a service that the platform's store names. The name of its object alone tells both.
struct recorded_version {
    base::service_name service;
    std::string version;

    /// Name of the object: the hexadecimal digits of the service, a dash and those of the version, as any
    /// platform allows these characters in names.
    std::string object_name() const;

    /// Reads the name of an object; nothing if it is no such name.
    static std::optional<recorded_version> parse(std::string_view object_name);

    friend bool operator==(const recorded_version&, const recorded_version&) = default;
    friend std::strong_ordering operator<=>(const recorded_version&, const recorded_version&) = default;
};

} // namespace rattanbay::daemon::internal
