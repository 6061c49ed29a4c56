#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/settings.hpp>
#include <rattanbay/object_api/http_mapping.hpp>
#include <rattanbay/relay/protocol.hpp>

#include <memory>

namespace rattanbay::daemon {

/// The protocols of the platform that a daemon runs on.
struct platform_protocols {
    /// Calls to the platform's objects; not null.
    std::shared_ptr<const object_api::object_protocol> objects;
    /// Requests of callers and to endpoints; null when the daemon relays none.
    std::shared_ptr<const relay::protocol> relay;

    /// The protocols of the project's own stand-ins.
    static platform_protocols own();
};

/// One daemon with its threads.
class daemon {
public:
    /// Binds all addresses and starts. Errors: `unavailable` when an address cannot be bound,
    /// `invalid_input` when the settings are for a relay and `protocols` has none.
    static base::result<std::unique_ptr<daemon>>
    start(config::settings settings, platform_protocols protocols = platform_protocols::own());

    virtual ~daemon() = default;

    /// Begins a planned stop: the daemon leaves the entry lists, and later finishes and ends.
    virtual void drain() = 0;

    /// Waits until a planned stop has ended.
    virtual void wait() = 0;
};

} // namespace rattanbay::daemon
