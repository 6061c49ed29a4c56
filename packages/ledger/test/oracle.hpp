#pragma once

#include <rattanbay/ledger.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rattanbay::ledger::test {

/// What a caller sends; its identity for the oracle.
struct booking {
    std::string account;
    std::string key;
    std::string body;
};

/// Checks the guarantees about at-most-once execution from the outside: the runs that endpoints
/// counted and the replies that callers got.
class oracle {
public:
    /// An endpoint runs a booking; returns the answer that this run gives.
    response ran(const booking& what) {
        std::vector<run>& runs = runs_[{what.account, what.key}];
        if (!runs.empty()) {
            violate(what, "ran twice");
        }
        for (const told& it : told_[{what.account, what.key}]) {
            if (it.not_run && it.body == what.body) {
                violate(what, "ran after a caller was told 'not run'");
            }
        }
        ++run_count_;
        response given{200, R"({"run":)" + std::to_string(run_count_) + R"(,"for":")" + what.account + "/" +
                                what.body + "\"}"};
        runs.push_back({what.body, given});
        return given;
    }

    /// A caller got a reply.
    void replied(const booking& what, const ledger::reply& given) {
        ++replies_;
        const std::vector<run>& runs = runs_[{what.account, what.key}];
        if (const response* whole = std::get_if<response>(&given)) {
            ++answers_;
            if (runs.empty()) {
                violate(what, "was answered without a run");
            } else if (runs.front().body != what.body) {
                violate(what, "got the answer of another body");
            } else if (runs.front().given != *whole) {
                violate(what, "got an answer that differs from the first run's");
            }
            return;
        }
        const base::problem& problem = std::get<base::problem>(given);
        if (problem.outcome == base::outcome::unknown) {
            ++unknowns_[problem.detail];
        }
        if (problem.outcome == base::outcome::not_run) {
            told_[{what.account, what.key}].push_back({what.body, true});
            if (!runs.empty() && runs.front().body == what.body) {
                violate(what, "was told 'not run' after its run (" + problem.detail + ")");
            }
        } else if (problem.outcome == base::outcome::ran && runs.empty()) {
            violate(what, "was told 'ran' without a run");
        }
    }

    void violate(const booking& what, const std::string& text) {
        violations_.push_back(what.account + "/" + what.body + " " +
                              what.key.substr(what.key.size() > 12 ? what.key.size() - 12 : 0) + ": " + text);
    }

    const std::vector<std::string>& violations() const { return violations_; }

    std::size_t run_count() const { return run_count_; }

    std::size_t replies() const { return replies_; }

    /// Replies with outcome unknown, by their detail.
    const std::map<std::string, std::size_t>& unknowns() const { return unknowns_; }

    std::size_t answers() const { return answers_; }

private:
    struct run {
        std::string body;
        response given;
    };

    struct told {
        std::string body;
        bool not_run = false;
    };

    using identity = std::pair<std::string, std::string>;

    std::map<identity, std::vector<run>> runs_;
    std::map<identity, std::vector<told>> told_;
    std::vector<std::string> violations_;
    std::size_t run_count_ = 0;
    std::size_t replies_ = 0;
    std::map<std::string, std::size_t> unknowns_;
    std::size_t answers_ = 0;
};

} // namespace rattanbay::ledger::test
