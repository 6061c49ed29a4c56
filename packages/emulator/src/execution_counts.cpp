#include <rattanbay/emulator/execution_counts.hpp>

namespace rattanbay::emulator {

void execution_counts::add(const std::string& key, const std::string& attempt) {
    ++by_key_[key];
    ++by_attempt_[attempt];
}

} // namespace rattanbay::emulator
