#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattanbay::relay {

/// Shortened hash of an endpoint's identifier, which stands for the endpoint in messages. Endpoints whose
/// hashes are equal, about one pair in 11,000 endpoints, share an estimate.
using engine_key = std::uint32_t;

/// Key of an endpoint: 26 bits, so that key and slowness fit into 32.
engine_key key_of(const base::endpoint_id& endpoint);

/// How slow an endpoint was compared with what its daemon usually sees, in logarithmic steps: 0 as usual,
/// positive if slower.
struct engine_slowness {
    engine_key engine = 0;
    int steps = 0;

    /// Form in messages; steps out of range are limited.
    std::uint32_t packed() const;
    static engine_slowness unpack(std::uint32_t packed);

    friend bool operator==(const engine_slowness&, const engine_slowness&) = default;
};

/// Slowness of engines, learnt by all daemons together. One daemon, the owner, collects the samples of an
/// engine and announces its estimate where that differs clearly from the usual; the others use what was
/// announced until it is `announcement_lifetime` old. Bounded, and not thread-safe.
class engine_speeds {
public:
    /// Sample steps per factor of e. Announced steps are coarser.
    static constexpr double sample_steps_per_unit = 8;
    /// Bounds of a sample and of an announcement, in their steps.
    static constexpr int max_steps = 31;
    static constexpr std::chrono::seconds announcement_lifetime{10};
    /// Powers of the speed by which requests are shared out. Shares in proportion to the speed, a power of 1,
    /// make all engines equally busy; as waiting costs more at a slow engine, it usually gets less than that.
    /// Requests with slack leave more of the fast engines to those without. With a power of 2 or more, the
    /// fastest engines are overloaded until their shares follow.
    static constexpr double slack_exponent = 1;
    static constexpr double usual_exponent = 1.5;

    /// Power for a request that has `slack` until its objective at an engine of usual speed, where it takes
    /// `expected` to its first event.
    static double exponent_for(base::duration expected, base::duration slack);

    /// Records a sample at the owner, in sample steps.
    void record_sample(const engine_slowness& sample, base::time_point now);

    /// Estimates that the owner has to announce, in announcement steps: of engines that differ from the
    /// usual, and for `announcement_lifetime` of those that do no longer. At most `max_count`; those
    /// announced longest ago come first. They count as announced.
    std::vector<engine_slowness> take_announcements(std::size_t max_count, base::time_point now);

    /// Records what the owner of an engine announced. Returns whether it changes the known value.
    bool record_announcement(const engine_slowness& announced, base::time_point now);

    /// Share of requests that the engine should get, relative to one of usual speed, which has 1, if requests
    /// are shared out by this power of the speed.
    double weight(engine_key engine, double exponent, base::time_point now) const;

    /// Number of engines with an announcement that makes a difference.
    std::size_t distinct_count(base::time_point now) const;

private:
    struct owned_engine {
        /// Moving average of the logarithm of the relative slowness.
        double log_slowness = 0;
        /// Moving average of the squared difference of a sample.
        double variance = 0;
        std::size_t samples = 0;
        base::time_point last_sample;
        int announced_steps = 0;
        std::optional<base::time_point> last_announced;
        /// Since when the estimate is the usual one.
        base::time_point usual_since;
    };

    struct known_engine {
        int steps = 0;
        base::time_point announced;
    };

    void remove_expired(base::time_point now);

    std::unordered_map<engine_key, owned_engine> owned_;
    std::unordered_map<engine_key, known_engine> known_;
};

} // namespace rattanbay::relay
