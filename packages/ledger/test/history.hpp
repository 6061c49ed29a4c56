#pragma once

#include "world.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanbay::ledger::test {

/// One step of a random history: the kind of event, the VM or booking concerned, an argument, and the delay
/// after the step. All values are in [0, step_value_range). Value 0 has the least effect, so that failing
/// histories shrink towards it.
struct history_step {
    int kind = 0;
    int target = 0;
    int argument = 0;
    int delay = 0;
};

constexpr int step_value_range = 100;
constexpr std::size_t steps_per_history = 60;

inline std::ostream& operator<<(std::ostream& out, const history_step& it) {
    return out << '{' << it.kind << ',' << it.target << ',' << it.argument << ',' << it.delay << '}';
}

/// Totals over several histories.
struct history_totals {
    std::size_t histories = 0;
    std::size_t steps = 0;
    /// Replies before the faults end, and those of them with outcome `unknown`.
    std::size_t replies = 0;
    std::size_t unknown_replies = 0;
    std::map<std::string, std::size_t> unknown_replies_by_detail;
    /// Replies before the faults end that contain a response.
    std::size_t responses = 0;
    std::size_t runs = 0;
    std::size_t expected_answers = 0;
    std::size_t seals = 0;
    std::size_t segments = 0;
    std::size_t deletions = 0;
};

/// Runs a history, ends all faults, resends all bookings, and returns the violated guarantees.
std::vector<std::string>
run_history(const std::vector<history_step>& history, std::uint64_t seed, history_totals& totals,
            execution_strategy strategy = execution_strategy::group_committed_record);

} // namespace rattanbay::ledger::test
