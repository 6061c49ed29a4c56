#include "internal/deadline_shares.hpp"

#include <cassert>

namespace rattanbay::pipeline::internal {

deadline_shares::deadline_shares(std::vector<service_times> times)
    : times_(std::move(times)) {}

base::duration deadline_shares::min_remaining_time(std::size_t stage) const {
    base::duration sum{};
    for (std::size_t n = stage; n < times_.size(); ++n) {
        sum += times_[n].p50;
    }
    return sum;
}

base::duration deadline_shares::stage_budget(std::size_t stage, base::duration remaining) const {
    assert(stage < times_.size());
    base::duration sum{};
    for (std::size_t n = stage; n < times_.size(); ++n) {
        sum += times_[n].p90;
    }
    if (sum <= base::duration::zero()) {
        return remaining / static_cast<base::duration::rep>(times_.size() - stage);
    }
    const double fraction = static_cast<double>(times_[stage].p90.count()) / static_cast<double>(sum.count());
    return base::duration(
        static_cast<base::duration::rep>(static_cast<double>(remaining.count()) * fraction));
}

base::duration deadline_shares::hedge_delay(std::size_t stage) const {
    assert(stage < times_.size());
    return times_[stage].p95;
}

} // namespace rattanbay::pipeline::internal
