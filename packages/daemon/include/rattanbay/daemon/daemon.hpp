#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/document_translator.hpp>
#include <rattanbay/config/settings.hpp>
#include <rattanbay/object_api/http_mapping.hpp>
#include <rattanbay/relay/protocol.hpp>

#include <memory>

namespace rattanbay::daemon {

/// Protocols of the platform on which a daemon runs.
struct platform_protocols {
    /// Protocol of the platform's object API; must not be null.
    std::shared_ptr<const object_api::object_protocol> objects;
    /// Protocol of callers and endpoints; null if the daemon relays no requests.
    std::shared_ptr<const relay::protocol> relay;
    /// Reads the platform's documents; null if the platform keeps them as rattanbayctl writes them.
    std::shared_ptr<const config::document_translator> documents = nullptr;

    /// Protocols of the platform emulator.
    static platform_protocols emulated();
};

/// A running daemon and its threads.
class daemon {
public:
    /// Binds all addresses and starts the threads. Errors: `unavailable` if an address cannot be bound,
    /// `invalid_input` if the settings are for a relay and `protocols.relay` is null.
    static base::result<std::unique_ptr<daemon>>
    start(config::settings settings, platform_protocols protocols = platform_protocols::emulated());

    virtual ~daemon() = default;

    /// Begins a planned stop: the daemon is removed from the entry lists, then stops accepting requests and
    /// finishes those in progress.
    virtual void drain() = 0;

    /// Blocks until a planned stop has ended.
    virtual void wait() = 0;
};

} // namespace rattanbay::daemon
