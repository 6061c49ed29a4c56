#include <rattanbay/emulator/service_time_distribution.hpp>

namespace rattanbay::emulator {

base::duration service_time_distribution::draw() {
    const double factor = 1.0 + jitter_ * (2.0 * random_.unit() - 1.0);
    return base::duration(static_cast<base::duration::rep>(static_cast<double>(mean_.count()) * factor));
}

} // namespace rattanbay::emulator
