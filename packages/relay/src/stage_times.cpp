#include <rattanbay/relay/stage_times.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::relay {

namespace {

/// Usual time between daemons, and of the wait for a call, for each stage.
constexpr std::chrono::milliseconds usual_overhead{30};

base::duration call_time(const config::piece_limits& limits, std::size_t pieces) {
    return limits.call_overhead +
           limits.time_per_piece * static_cast<std::int64_t>(std::min(pieces, limits.max_batch_size));
}

/// Adds the longest chain of stages that follow `stage`, whose estimates are complete.
void add_rest(const std::vector<config::relay_stage>& stages, std::size_t stage,
              std::vector<stage_estimate>& out) {
    for (std::size_t other = stage + 1; other < stages.size(); ++other) {
        if (is_needed_by(stages, stage, other)) {
            out[stage].least.rest = std::max(out[stage].least.rest, out[other].least.whole());
            out[stage].busy.rest = std::max(out[stage].busy.rest, out[other].busy.whole());
        }
    }
}

} // namespace

bool is_needed_by(const std::vector<config::relay_stage>& stages, std::size_t stage, std::size_t other) {
    const std::vector<std::size_t>& after = stages[other].depends_on;
    return std::ranges::find(after, stage) != after.end();
}

std::vector<stage_estimate>
estimate_stage_times(const std::vector<config::relay_stage>& stages, const std::vector<std::size_t>& pieces,
                     const std::map<base::service_name, config::relay_service>& services) {
    assert(pieces.size() == stages.size());
    std::vector<stage_estimate> out(stages.size());
    for (std::size_t n = stages.size(); n > 0; --n) {
        const std::size_t stage = n - 1;
        const auto it = services.find(stages[stage].service);
        if (pieces[stage] > 0 && it != services.end() && it->second.pieces) {
            const config::piece_limits& limits = *it->second.pieces;
            const base::duration full = call_time(limits, limits.max_batch_size);
            out[stage].least.own = call_time(limits, pieces[stage]) + usual_overhead;
            // Half of another call passes on the average until an endpoint takes the next one.
            out[stage].busy.own = full + full / 2 + usual_overhead;
        }
        add_rest(stages, stage, out);
    }
    return out;
}

} // namespace rattanbay::relay
