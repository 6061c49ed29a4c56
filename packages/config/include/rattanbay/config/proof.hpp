#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Record that the bytes of a document were in force in a trial environment and that each of its
/// pipelines answered there.
struct proof {
    std::uint64_t revision = 0;
    std::string sha256;
    /// Environment of the trial.
    std::string environment;
    /// Operator addresses of the daemons that reported the document as in force.
    std::vector<std::string> daemons;
    /// Pipelines that answered a sample request.
    std::vector<std::string> pipelines;

    /// Key of the platform object that holds the proof of these bytes.
    static object_api::object_key key(const std::string& sha256);

    /// Reads the value of the platform object; `invalid_input` when a member is missing, unknown or
    /// of the wrong type.
    static base::result<proof> parse(std::string_view value);

    /// Value of the platform object.
    std::string value() const;

    /// Checks that this proves the very bytes of `document` with all pipelines; otherwise
    /// `conflict` with the reason.
    base::result<void> check(const environment_document& document) const;
};

} // namespace rattanbay::config
