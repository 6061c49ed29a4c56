#include <rattanbay/emulator/load_history.hpp>

namespace rattanbay::emulator {

void load_history::record(load_sample sample) {
    const base::time_point cutoff = sample.at - lag_;
    samples_.push_back(sample);
    // The newest sample at or before the cutoff is still in effect at the cutoff.
    while (samples_.size() > 1 && samples_[1].at <= cutoff) {
        samples_.pop_front();
    }
}

load_sample load_history::report(base::time_point now) const {
    const base::time_point at = now - lag_;
    load_sample found{at, 0, 0};
    for (const load_sample& row : samples_) {
        if (row.at > at) {
            break;
        }
        found = load_sample{at, row.running, row.waiting};
    }
    return found;
}

} // namespace rattanbay::emulator
