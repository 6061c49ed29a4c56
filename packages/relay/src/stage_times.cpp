#include <rattanbay/relay/stage_times.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::relay {

namespace {

/// Typical overhead of a stage for messages between daemons and for waiting for a call to be sent.
constexpr std::chrono::milliseconds stage_overhead{30};

base::duration call_time(const config::piece_limits& limits, std::size_t pieces) {
    return limits.call_overhead +
           limits.time_per_piece * static_cast<std::int64_t>(std::min(pieces, limits.max_batch_size));
}

/// Adds the longest chain of stages that depend on `stage`; their estimates must be complete.
void add_following_time(const std::vector<config::relay_stage>& stages, std::size_t stage,
                        std::vector<stage_estimate>& estimates) {
    for (std::size_t dependent = stage + 1; dependent < stages.size(); ++dependent) {
        if (is_dependency_of(stages, stage, dependent)) {
            estimates[stage].unloaded.following =
                std::max(estimates[stage].unloaded.following, estimates[dependent].unloaded.total());
            estimates[stage].loaded.following =
                std::max(estimates[stage].loaded.following, estimates[dependent].loaded.total());
        }
    }
}

} // namespace

bool is_dependency_of(const std::vector<config::relay_stage>& stages, std::size_t stage,
                      std::size_t dependent) {
    const std::vector<std::size_t>& after = stages[dependent].depends_on;
    return std::ranges::find(after, stage) != after.end();
}

std::vector<stage_estimate>
estimate_stage_times(const std::vector<config::relay_stage>& stages, const std::vector<std::size_t>& pieces,
                     const std::map<base::service_name, config::relay_service>& services) {
    assert(pieces.size() == stages.size());
    std::vector<stage_estimate> estimates(stages.size());
    for (std::size_t index = stages.size(); index > 0; --index) {
        const std::size_t stage = index - 1;
        const auto it = services.find(stages[stage].service);
        if (pieces[stage] > 0 && it != services.end() && it->second.pieces) {
            const config::piece_limits& limits = *it->second.pieces;
            const base::duration full_call = call_time(limits, limits.max_batch_size);
            estimates[stage].unloaded.duration = call_time(limits, pieces[stage]) + stage_overhead;
            // On average, half of another call passes until a busy endpoint accepts the next one.
            estimates[stage].loaded.duration = full_call + full_call / 2 + stage_overhead;
        }
        add_following_time(stages, stage, estimates);
    }
    return estimates;
}

} // namespace rattanbay::relay
