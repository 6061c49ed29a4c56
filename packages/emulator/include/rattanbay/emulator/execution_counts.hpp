#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace rattanbay::emulator {

/// Counts executions of calls by idempotency key and by attempt. Repeated executions are counted,
/// not prevented.
class execution_counts {
public:
    /// Counts one execution. A missing key or attempt is counted under the empty string.
    void add(const std::string& key, const std::string& attempt);

    const std::map<std::string, std::uint64_t>& by_key() const { return by_key_; }

    const std::map<std::string, std::uint64_t>& by_attempt() const { return by_attempt_; }

private:
    std::map<std::string, std::uint64_t> by_key_;
    std::map<std::string, std::uint64_t> by_attempt_;
};

} // namespace rattanbay::emulator
