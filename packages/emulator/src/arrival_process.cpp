#include <rattanbay/emulator/arrival_process.hpp>

#include <cmath>

namespace rattanbay::emulator {

arrival_process::arrival_process(const load_options& options)
    : phases_(options.phases)
    , pipelines_(options.pipelines)
    , accounts_(options.accounts)
    , seed_(options.seed)
    , random_(options.seed) {}

std::optional<request_arrival> arrival_process::next() {
    constexpr double microseconds_per_second = 1e6;
    while (phase_ < phases_.size()) {
        const load_phase& phase = phases_[phase_];
        const base::duration end = phase_start_ + phase.duration;
        if (phase.rate > 0) {
            const double gap = -std::log(1.0 - random_.unit()) / phase.rate * microseconds_per_second;
            time_ += base::duration(static_cast<base::duration::rep>(gap));
        }
        if (phase.rate > 0 && time_ < end) {
            break;
        }
        phase_start_ = end;
        time_ = end;
        ++phase_;
    }
    if (phase_ == phases_.size()) {
        return std::nullopt;
    }
    request_arrival out;
    out.at = time_;
    out.sequence = ++sequence_;
    out.pipeline = pick_weighted(pipelines_);
    out.account = pick_weighted(accounts_);
    out.caller = random_.below(accounts_[out.account].callers);
    out.input = "request " + std::to_string(out.sequence) + " of run " + std::to_string(seed_);
    return out;
}

template <class Row> std::size_t arrival_process::pick_weighted(const std::vector<Row>& rows) {
    double total = 0;
    for (const Row& row : rows) {
        total += row.weight;
    }
    double rest = random_.unit() * total;
    for (std::size_t n = 0; n < rows.size(); ++n) {
        rest -= rows[n].weight;
        if (rest < 0) {
            return n;
        }
    }
    return rows.size() - 1;
}

} // namespace rattanbay::emulator
