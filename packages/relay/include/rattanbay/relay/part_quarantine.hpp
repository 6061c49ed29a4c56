#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/relay/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace rattanbay::relay {

/// Hash of a service and the identifier of a prompt part.
using part_key = std::uint64_t;

/// Keys of the parts of a prompt that other requests may share, which is all but the last.
std::vector<part_key> shared_part_keys(const base::service_name& service, const prompt& prompt);

/// A part whose requests are kept away from endpoints.
struct quarantined_part {
    part_key part = 0;
    /// Time until the next request with it may pass as a trial.
    base::duration time_to_trial{};
};

/// Finds parts of prompts that make endpoints crash, and keeps requests with them away from endpoints.
///
/// A part becomes a suspect when an endpoint crashes before it has begun to answer a request with that part.
/// It is quarantined after `crash_threshold` such crashes, unless any endpoint has begun to answer a request
/// with it since the first of them. Crashes at about the same time count as one, as they may have a common
/// cause that is no request. One daemon, the owner of the part, lets a request with it pass as a trial from
/// time to time. Daemons share crashes and answers, so all arrive at the same verdict. Thread-safe; holds at
/// most `max_suspects` parts.
class part_quarantine {
public:
    static constexpr std::size_t crash_threshold = 3;
    static constexpr std::size_t max_suspects = 512;

    /// Records the crash of an endpoint that had not begun to answer a request with these parts. Returns the
    /// parts that are quarantined because of it. If some of the parts are quarantined already, they explain
    /// the crash and the others are not suspected.
    std::vector<part_key> record_crash(const std::vector<part_key>& parts, base::time_point now);

    /// Records that an endpoint has begun to answer a request with these parts. Returns those that were
    /// suspects; the other daemons have to be told to clear them.
    std::vector<part_key> record_answer(const std::vector<part_key>& parts);

    /// Clears parts because of an answer that another daemon has seen. Returns those that were quarantined.
    std::vector<part_key> clear(const std::vector<part_key>& parts);

    /// Quarantines a part because another daemon has done so.
    void quarantine(part_key part, base::time_point now);

    /// The first quarantined part among these, if there is one.
    std::optional<quarantined_part> find(const std::vector<part_key>& parts, base::time_point now) const;

    /// Takes the trial of the quarantined parts among these if it is due; to be called by their owner only.
    /// Returns whether a request with them may pass.
    bool try_begin_trial(const std::vector<part_key>& parts, base::time_point now);

    /// All quarantined parts.
    std::vector<part_key> quarantined_parts(base::time_point now) const;

private:
    struct suspect {
        std::size_t crashes = 0;
        base::time_point last_crash;
        /// Last crash that was not counted as one with an earlier one.
        base::time_point last_counted;
        bool quarantined = false;
        base::time_point next_trial;
        base::duration trial_interval{};
    };

    static bool is_expired(const suspect& row, base::time_point now);
    void remove_expired(base::time_point now);
    bool is_quarantined(part_key part) const;
    static void begin_quarantine(suspect& row, base::time_point now);

    mutable std::mutex mutex_;
    std::map<part_key, suspect> suspects_;
};

} // namespace rattanbay::relay
