#include <rattanbay/emulator/execution_check.hpp>

namespace rattanbay::emulator {

std::vector<std::string> check_executions(const std::vector<keyed_result>& requests,
                                          const std::map<std::string, std::uint64_t>& executions) {
    std::vector<std::string> violations;
    for (const keyed_result& request : requests) {
        std::uint64_t count = 0;
        std::string names;
        for (const std::string& key : request.keys) {
            const auto it = executions.find(key);
            count += it == executions.end() ? 0 : it->second;
            names += (names.empty() ? "" : ", ") + key;
        }
        const std::string ran = "the request with " + names + " ran " + std::to_string(count) + " times";
        if (count > 1) {
            violations.push_back(ran);
        }
        if (count > 0 && request.outcome == base::outcome::not_run) {
            violations.push_back(ran + " although its caller received the outcome 'not run'");
        }
        if (count == 0 && request.outcome == base::outcome::ran) {
            violations.push_back(ran + " although its caller received the outcome 'ran'");
        }
    }
    return violations;
}

} // namespace rattanbay::emulator
