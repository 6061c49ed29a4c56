#include <rattanbay/relay/call_comparison.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::relay {

namespace {

/// Weight of the latest stream in the usual time: about the last 20 streams of the route.
constexpr double usual_weight = 0.05;
/// Streams before anything is compared with the usual time.
constexpr std::size_t min_streams = 4;
/// Times below this are of the order of the daemon's own scheduling.
constexpr double min_ms = 0.5;
/// Bounds the factor by which a stream counts more or less.
constexpr double max_weight = 4;
/// Bounds the memory if documents rename routes again and again.
constexpr std::size_t max_routes = 1'000;

} // namespace

std::optional<double> call_comparison::usual_time::compare(double ms, double weight) {
    const double log_value = std::log(std::max(ms, min_ms));
    ++samples;
    const double difference = log_value - log_ms;
    log_ms += std::max(usual_weight * weight, 1 / static_cast<double>(samples)) * difference;
    return samples > min_streams ? std::optional<double>(difference) : std::nullopt;
}

std::optional<double> call_comparison::compare(const std::string& route, base::duration first_event,
                                               std::optional<base::duration> time_per_event,
                                               double relative_size, double engine_weight) {
    const double weight = 1 / std::clamp(engine_weight, 1 / max_weight, max_weight);
    if (by_route_.size() >= max_routes && !by_route_.contains(route)) {
        by_route_.clear();
    }
    usual_times& usual = by_route_[route];
    const std::optional<double> first =
        usual.first_event.compare(base::to_milliseconds(first_event) / std::max(relative_size, 1e-3), weight);
    const std::optional<double> later =
        time_per_event ? usual.per_event.compare(base::to_milliseconds(*time_per_event), weight)
                       : std::nullopt;
    if (!first) {
        return std::nullopt;
    }
    return later ? (*first + *later) / 2 : *first;
}

} // namespace rattanbay::relay
