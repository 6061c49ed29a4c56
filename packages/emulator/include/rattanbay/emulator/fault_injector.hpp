#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/emulator/endpoint_fault.hpp>

#include <cstdint>

namespace rattanbay::emulator {

/// Selects the calls of an endpoint that a fault applies to. The selection is determined by the
/// seed and the sequence of calls.
class fault_injector {
public:
    explicit fault_injector(std::uint64_t seed)
        : seed_(seed)
        , random_(seed) {}

    /// Sets the active fault. `newest_connection` is the number of the most recently accepted
    /// connection.
    void set(endpoint_fault fault, std::uint64_t newest_connection);

    /// Returns the fault of the next call; mode `none` if no fault applies.
    endpoint_fault draw();

    /// Whether the fault `silent` applies to a connection.
    bool is_silent(std::uint64_t connection) const;

private:
    /// Connections up to `last_connection` are silent, each with this probability.
    struct silence {
        std::uint64_t last_connection = 0;
        double probability = 0;
    };

    std::uint64_t seed_;
    base::random_source random_;
    endpoint_fault fault_;
    silence silence_;
};

} // namespace rattanbay::emulator
