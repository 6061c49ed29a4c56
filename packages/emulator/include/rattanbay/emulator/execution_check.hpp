#pragma once

#include <rattanbay/emulator/load_report.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanbay::emulator {

/// Compares the reported outcomes of non-idempotent requests with the executions that plain
/// services counted by key. Returns a readable message for each violation: a request that was
/// executed more than once over all its keys, one reported as `not_run` that was executed, or one
/// reported as `ran` that was not.
std::vector<std::string> check_executions(const std::vector<keyed_result>& requests,
                                          const std::map<std::string, std::uint64_t>& executions);

} // namespace rattanbay::emulator
