#include "internal/daemon_resources.hpp"

namespace rattanbay::daemon::internal {

namespace {

/// Parts of the held memory that are guaranteed to requests, and to messages of other daemons.
constexpr std::size_t requests_divisor = 8;
constexpr std::size_t peers_divisor = 16;
/// Parts of the descriptors that are guaranteed to clients, endpoints and other daemons.
constexpr std::size_t clients_divisor = 4;
constexpr std::size_t endpoints_divisor = 4;
constexpr std::size_t peers_descriptors_divisor = 8;
/// A daemon watches a few lists and reads and writes a few objects at a time.
constexpr std::size_t store_descriptors = 16;

http::memory_budget::amounts guaranteed_memory(const config::settings& settings) {
    const std::size_t held = settings.max_held_bytes();
    // Held responses count twice. Connections have a bound of their own.
    return {0, held / requests_divisor, 2 * settings.max_held_response_bytes(), held / peers_divisor};
}

http::descriptor_budget::amounts guaranteed_descriptors(std::size_t connections) {
    return {connections / clients_divisor, connections / endpoints_divisor,
            connections / peers_descriptors_divisor, store_descriptors};
}

} // namespace

daemon_resources::daemon_resources(const config::settings& settings)
    : memory(settings.max_held_bytes(), guaranteed_memory(settings))
    , descriptors(settings.max_connections(), guaranteed_descriptors(settings.max_connections()), &memory)
    , responses(settings.max_held_response_bytes(), settings.max_response_bytes(), &memory) {}

} // namespace rattanbay::daemon::internal
