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

/// A request as sent by a caller.
struct booking_request {
    std::string account;
    std::string key;
    std::string body;
};

/// Checks the guarantees of at-most-once execution using only externally visible behaviour: the runs at
/// endpoints and the replies to callers.
class oracle {
public:
    /// Records that an endpoint runs a booking; returns the response of this run.
    response record_run(const booking_request& booking) {
        std::vector<run>& runs = runs_[{booking.account, booking.key}];
        if (!runs.empty()) {
            add_violation(booking, "ran twice");
        }
        for (const problem_reply& it : problem_replies_[{booking.account, booking.key}]) {
            if (it.not_run && it.body == booking.body) {
                add_violation(booking, "ran after a caller got the outcome 'not run'");
            }
        }
        ++run_count_;
        response result{200, R"({"run":)" + std::to_string(run_count_) + R"(,"for":")" + booking.account +
                                 "/" + booking.body + "\"}"};
        runs.push_back({booking.body, result});
        return result;
    }

    /// Records a reply to a caller and checks it.
    void record_reply(const booking_request& booking, const ledger::reply& reply) {
        ++replies_;
        const std::vector<run>& runs = runs_[{booking.account, booking.key}];
        if (const response* as_response = std::get_if<response>(&reply)) {
            ++responses_;
            if (runs.empty()) {
                add_violation(booking, "got a response without a run");
            } else if (runs.front().body != booking.body) {
                add_violation(booking, "got the response of another body");
            } else if (runs.front().result != *as_response) {
                add_violation(booking, "got a response that differs from the first run's");
            }
            return;
        }
        const base::problem& problem = std::get<base::problem>(reply);
        if (problem.outcome == base::outcome::unknown) {
            ++unknown_replies_[problem.detail];
        }
        if (problem.outcome == base::outcome::not_run) {
            problem_replies_[{booking.account, booking.key}].push_back({booking.body, true});
            if (!runs.empty() && runs.front().body == booking.body) {
                add_violation(booking, "got the outcome 'not run' after its run (" + problem.detail + ")");
            }
        } else if (problem.outcome == base::outcome::ran && runs.empty()) {
            add_violation(booking, "got the outcome 'ran' without a run");
        }
    }

    void add_violation(const booking_request& booking, const std::string& text) {
        violations_.push_back(booking.account + "/" + booking.body + " " +
                              booking.key.substr(booking.key.size() > 12 ? booking.key.size() - 12 : 0) +
                              ": " + text);
    }

    const std::vector<std::string>& violations() const { return violations_; }

    std::size_t run_count() const { return run_count_; }

    std::size_t replies() const { return replies_; }

    /// Number of replies with outcome `unknown`, by their detail.
    const std::map<std::string, std::size_t>& unknown_replies() const { return unknown_replies_; }

    std::size_t responses() const { return responses_; }

private:
    struct run {
        std::string body;
        response result;
    };

    struct problem_reply {
        std::string body;
        bool not_run = false;
    };

    using identity = std::pair<std::string, std::string>;

    std::map<identity, std::vector<run>> runs_;
    std::map<identity, std::vector<problem_reply>> problem_replies_;
    std::vector<std::string> violations_;
    std::size_t run_count_ = 0;
    std::size_t replies_ = 0;
    std::map<std::string, std::size_t> unknown_replies_;
    std::size_t responses_ = 0;
};

} // namespace rattanbay::ledger::test
