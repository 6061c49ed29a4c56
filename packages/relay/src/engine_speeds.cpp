#include <rattanbay/base/hash.hpp>
#include <rattanbay/relay/engine_speeds.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::relay {

namespace {

constexpr unsigned steps_bits = 6;
constexpr unsigned key_bits = 32 - steps_bits;
constexpr int steps_offset = 32;

/// Weight of the latest sample in the moving average. With 0.15, the shares of requests follow the queues
/// that they cause, and swing; see docs/policy.md.
constexpr double sample_weight = 0.05;
/// Samples before an estimate is announced. With fewer, one slow request would decide.
constexpr std::size_t min_samples = 4;
/// Announcement step: a factor of 1.28 in speed.
constexpr double announcement_step = 0.25;
/// An estimate has to differ from its announced step by this many steps before another one is announced, as
/// each change moves prompt parts to other engines.
constexpr double hysteresis = 0.6;
/// Steps by which an engine has to differ from the usual before anything is announced of it: a factor of
/// 1.45. It also has to differ by this many standard errors of the average.
constexpr double min_difference = 1.5;
constexpr double min_standard_errors = 3;
/// Range of announced steps: speeds from a fifth to three times the usual.
constexpr int min_announced_steps = -4;
constexpr int max_announced_steps = 6;
/// A request has slack if its first event comes in time even if it takes this many times as long as expected:
/// engines differ by two to three times, and so do their slow moments.
constexpr double much_slack = 8;
/// Bounds the memory at 11,000 endpoints and against announcements of unknown ones.
constexpr std::size_t max_engines = 16'384;

} // namespace

engine_key key_of(const base::endpoint_id& endpoint) {
    return static_cast<engine_key>(base::fast_hash(endpoint.text()).low >> (64U - key_bits));
}

std::uint32_t engine_slowness::packed() const {
    const int limited = std::clamp(steps, -engine_speeds::max_steps, engine_speeds::max_steps);
    return (engine << steps_bits) | static_cast<std::uint32_t>(limited + steps_offset);
}

engine_slowness engine_slowness::unpack(std::uint32_t packed) {
    constexpr std::uint32_t steps_mask = (1U << steps_bits) - 1;
    const int steps = static_cast<int>(packed & steps_mask) - steps_offset;
    return {packed >> steps_bits, std::clamp(steps, -engine_speeds::max_steps, engine_speeds::max_steps)};
}

void engine_speeds::record_sample(const engine_slowness& sample, base::time_point now) {
    if (owned_.size() >= max_engines && !owned_.contains(sample.engine)) {
        return;
    }
    owned_engine& engine = owned_[sample.engine];
    const double value = std::clamp(sample.steps, -max_steps, max_steps) / sample_steps_per_unit;
    // The mean of the first samples, then a moving average.
    engine.samples = std::min<std::size_t>(engine.samples + 1, 1'000);
    const double weight = std::max(sample_weight, 1 / static_cast<double>(engine.samples));
    const double difference = value - engine.log_slowness;
    engine.log_slowness += weight * difference;
    engine.variance += weight * (difference * difference - engine.variance);
    engine.last_sample = now;
}

void engine_speeds::remove_expired(base::time_point now) {
    std::erase_if(known_,
                  [now](const auto& row) { return now - row.second.announced > announcement_lifetime; });
    std::erase_if(owned_,
                  [now](const auto& row) { return now - row.second.last_sample > announcement_lifetime; });
}

std::vector<engine_slowness> engine_speeds::take_announcements(std::size_t max_count, base::time_point now) {
    remove_expired(now);
    std::vector<std::pair<base::time_point, engine_key>> due;
    for (auto& [key, engine] : owned_) {
        if (engine.samples < min_samples) {
            continue;
        }
        const double steps = engine.log_slowness / announcement_step;
        const double standard_error =
            std::sqrt(engine.variance *
                      std::max(sample_weight / (2 - sample_weight), 1 / static_cast<double>(engine.samples)));
        const double threshold =
            engine.announced_steps == 0
                ? std::max(min_difference, min_standard_errors * standard_error / announcement_step)
                : hysteresis;
        if (std::abs(steps - engine.announced_steps) > threshold) {
            const int next = static_cast<int>(std::trunc(steps + std::copysign(1 - hysteresis, steps)));
            engine.announced_steps = std::clamp(next, min_announced_steps, max_announced_steps);
            engine.usual_since = now;
        }
        const bool was_different = engine.last_announced && now - engine.usual_since < announcement_lifetime;
        if (engine.announced_steps != 0 || was_different) {
            due.emplace_back(engine.last_announced.value_or(base::time_point::min()), key);
        }
    }
    std::ranges::sort(due);
    due.resize(std::min(due.size(), max_count));
    std::vector<engine_slowness> out;
    for (const auto& [time, key] : due) {
        owned_engine& engine = owned_.at(key);
        engine.last_announced = now;
        out.push_back({key, engine.announced_steps});
        record_announcement(out.back(), now);
    }
    return out;
}

bool engine_speeds::record_announcement(const engine_slowness& announced, base::time_point now) {
    if (known_.size() >= max_engines && !known_.contains(announced.engine)) {
        return false;
    }
    const int steps = std::clamp(announced.steps, min_announced_steps, max_announced_steps);
    known_engine& engine = known_[announced.engine];
    const bool changes = engine.steps != steps;
    engine.steps = steps;
    engine.announced = now;
    return changes;
}

double engine_speeds::exponent_for(base::duration expected, base::duration slack) {
    const double times = base::to_milliseconds(slack) / std::max(1.0, base::to_milliseconds(expected));
    return times >= much_slack ? slack_exponent : usual_exponent;
}

double engine_speeds::weight(engine_key engine, double exponent, base::time_point now) const {
    const auto it = known_.find(engine);
    if (it == known_.end() || now - it->second.announced > announcement_lifetime) {
        return 1;
    }
    return std::exp(-exponent * announcement_step * it->second.steps);
}

std::size_t engine_speeds::distinct_count(base::time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(known_, [now](const auto& row) {
        return row.second.steps != 0 && now - row.second.announced <= announcement_lifetime;
    }));
}

} // namespace rattanbay::relay
