#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Record that a document, byte for byte, was in force in a trial environment and that each of its pipelines
/// answered a sample request there.
struct proof {
    std::uint64_t revision = 0;
    std::string sha256;
    /// The trial environment.
    std::string environment;
    /// Operator addresses of the daemons that reported the document as in force.
    std::vector<std::string> daemons;
    /// Pipelines that answered a sample request.
    std::vector<std::string> pipelines;

    /// Key of the platform object that holds the proof for the document with this hash.
    static object_api::object_key key(const std::string& sha256);

    /// Parses the value of the platform object; returns `invalid_input` if a member is missing, unknown or of
    /// the wrong type.
    static base::result<proof> parse(std::string_view value);

    /// Serializes to the value of the platform object.
    std::string serialize() const;

    /// Checks that this proof covers the exact bytes and all pipelines of `document`; otherwise returns
    /// `conflict` with the reason.
    base::result<void> check(const environment_document& document) const;
};

} // namespace rattanbay::config
