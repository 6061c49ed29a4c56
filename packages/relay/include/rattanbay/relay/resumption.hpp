#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/relay/stream_origin.hpp>

#include <optional>
#include <set>
#include <string>

namespace rattanbay::relay {

/// What a daemon knows of the software version of a stream that a client takes up again.
struct resumption_knowledge {
    /// What began the stream, if a daemon knows it.
    std::optional<stream_origin> origin;
    /// Versions of the service that may have begun it.
    std::set<std::string> active_versions;
    /// Whether the versions from before the start of this daemon are among them.
    bool knows_former_versions = false;
    /// Whether another daemon was asked and answered, or there is none.
    bool was_answered = false;
    /// Whether the active versions include all that the platform listed after the client had asked. A list
    /// from before may lack a version that has begun streams since.
    bool is_list_current = false;
};

/// How the software version of a stream was found.
enum class resumption_basis {
    /// A daemon recorded it when the stream began.
    recorded,
    /// No other version can have begun a stream that is still alive.
    only_version,
    /// It is one of several, or others may exist. The stream must not go on.
    unknown,
};

/// Decision about a stream that a client takes up again.
struct resumption {
    resumption_basis basis = resumption_basis::unknown;
    /// Service and version at which the stream may go on; empty if it must not.
    std::optional<stream_origin> origin;
};

/// Whether the decision would be for the only version if the list were current.
bool needs_current_list(const resumption_knowledge& known);

/// Decides where a stream of the service may go on. Endpoints do not check that a stream was begun by their
/// own version, and what two versions write does not fit together.
resumption decide_resumption(const base::service_name& service, const resumption_knowledge& known);

} // namespace rattanbay::relay

template <> struct rattanbay::base::enum_names<rattanbay::relay::resumption_basis> {
    static constexpr std::array<enum_name<relay::resumption_basis>, 3> table{{
        {relay::resumption_basis::recorded, "recorded"},
        {relay::resumption_basis::only_version, "only_version"},
        {relay::resumption_basis::unknown, "unknown"},
    }};
};
