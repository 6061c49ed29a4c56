#include <rattanbay/emulator/batch_timing.hpp>

namespace rattanbay::emulator {

base::duration batch_timing::token_interval(std::size_t running_streams) const {
    const double others = running_streams > 1 ? static_cast<double>(running_streams - 1) : 0.0;
    const double factor = 1.0 + slowdown_per_stream * others;
    return base::duration(
        static_cast<base::duration::rep>(static_cast<double>(time_per_token.count()) * factor));
}

} // namespace rattanbay::emulator
