#pragma once

#include <cassert>
#include <cstdint>
#include <random>

namespace rattanbay::base {

/// Seeded random number generator. The results of the standard distributions depend on the library, so
/// the conversions are implemented here: a seed gives the same numbers on every platform.
class random_source {
public:
    explicit random_source(std::uint64_t seed)
        : engine_(seed) {}

    /// Next 64 random bits.
    std::uint64_t bits() { return engine_(); }

    /// Uniform integer in [0, bound); `bound` must be positive.
    std::uint64_t below(std::uint64_t bound) {
        assert(bound > 0);
        return engine_() % bound;
    }

    /// Uniform number in [0, 1).
    double unit() {
        constexpr int unused_bits = 11;
        constexpr double scale = 0x1.0p-53;
        return static_cast<double>(engine_() >> unused_bits) * scale;
    }

private:
    std::mt19937_64 engine_;
};

} // namespace rattanbay::base
