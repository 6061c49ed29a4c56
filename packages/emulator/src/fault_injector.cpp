#include <rattanbay/emulator/fault_injector.hpp>

namespace rattanbay::emulator {

void fault_injector::set(endpoint_fault fault, std::uint64_t newest_connection) {
    fault_ = fault;
    if (fault.mode == endpoint_fault_mode::silent) {
        silence_ = silence{newest_connection, fault.probability};
    }
}

endpoint_fault fault_injector::draw() {
    // The fault `silent` applies to connections, not to single calls.
    const bool per_call =
        fault_.mode != endpoint_fault_mode::none && fault_.mode != endpoint_fault_mode::silent;
    return per_call && random_.unit() < fault_.probability ? fault_ : endpoint_fault{};
}

bool fault_injector::is_silent(std::uint64_t connection) const {
    if (connection > silence_.last_connection) {
        return false;
    }
    // The draw depends only on the connection number, so a silent connection stays silent.
    base::random_source draw(seed_ ^ (connection * 0x9E3779B97F4A7C15ULL));
    return draw.unit() < silence_.probability;
}

} // namespace rattanbay::emulator
