#pragma once

#include <rattanbay/base/time.hpp>

#include <map>
#include <optional>
#include <string>

namespace rattanbay::relay {

/// Compares streams with what this daemon usually sees on their route, so that the number of prompt tokens,
/// the processor of the daemon and the mix of requests do not count as speed of an engine. Not thread-safe.
class call_comparison {
public:
    /// Returns the logarithm of how much slower than usual a stream was, in the mean of the time to its first
    /// event and the time per event; nothing while too few streams of the route were seen. `relative_size` is
    /// the size of the request relative to a typical one. `engine_weight` is the share of requests that the
    /// engine gets, relative to one of usual speed: streams of preferred engines count less, so that the
    /// usual time is that of all engines alike.
    std::optional<double> compare(const std::string& route, base::duration first_event,
                                  std::optional<base::duration> time_per_event, double relative_size,
                                  double engine_weight);

private:
    /// Moving average of the logarithm of a time.
    struct usual_time {
        double log_ms = 0;
        std::size_t samples = 0;

        std::optional<double> compare(double ms, double weight);
    };

    struct usual_times {
        usual_time first_event;
        usual_time per_event;
    };

    std::map<std::string, usual_times> by_route_;
};

} // namespace rattanbay::relay
