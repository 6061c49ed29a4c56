#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/relay/messages.hpp>
#include <rattanbay/relay/part_record.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace rattanbay::relay {

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
/// A part becomes a suspect when an endpoint crashes at the start of its answer to a request with that part.
/// It is quarantined after `crash_threshold` such crashes, unless an answer to a request with it has got past
/// its start since the first of them. Crashes at about the same time count as one, as they may have a common
/// cause that is no request. One daemon at a time (`trial_turn`) lets a request with it pass as a trial from
/// time to time. Daemons share crashes, answers and the schedule of the trials, so that all arrive at the
/// same verdict and the next daemon continues the schedule. Thread-safe; holds at most `max_suspects` parts.
class part_quarantine {
public:
    static constexpr std::size_t crash_threshold = 3;
    static constexpr std::size_t max_suspects = 512;
    /// Time from the first event of an answer to the end of its start. A crash in it may be due to the
    /// request and one after it is not, so that the many streams that an endpoint serves at a time are no
    /// suspects.
    static constexpr std::chrono::seconds answer_start{1};

    /// Records the crash of an endpoint at the start of its answer to a request with these parts, or before.
    /// Returns the parts that are quarantined because of it. If some of the parts are quarantined already,
    /// they explain the crash and the others are not suspected.
    std::vector<part_key> record_crash(const std::vector<part_key>& parts, base::time_point now);

    /// Records an answer to a request with these parts that is complete or past its start. Returns those that
    /// were suspects; the other daemons have to be told to clear them.
    std::vector<part_key> record_answer(const std::vector<part_key>& parts, base::time_point now);

    /// Clears parts because of an answer that another daemon has seen. Returns those that were quarantined.
    /// Records of other daemons that are older than the clearance are ignored from then on.
    std::vector<part_key> clear(const std::vector<part_key>& parts, base::time_point now);

    /// Quarantines a part because another daemon has done so.
    void quarantine(part_key part, base::time_point now);

    /// The first quarantined part among these, if there is one. Keeps the verdict from expiring: while
    /// requests with the part come, only a trial or an answer ends it.
    std::optional<quarantined_part> find(const std::vector<part_key>& parts, base::time_point now);

    /// Takes the trial of the quarantined parts among these if it is due; to be called only while
    /// `trial_turn` allows it. Returns whether a request with them may pass. The other daemons have to be
    /// told first.
    bool try_begin_trial(const std::vector<part_key>& parts, base::time_point now);

    /// All quarantined parts.
    std::vector<part_key> quarantined_parts(base::time_point now) const;

    /// What is known of all suspected and quarantined parts, or of these parts only.
    std::vector<part_record> records(base::time_point now) const;
    std::vector<part_record> records(const std::vector<part_key>& parts, base::time_point now) const;

    /// Result of taking over the records of another daemon.
    struct merge_result {
        std::vector<part_key> quarantined;
        /// Parts that were cleared after what the other daemon knows of them.
        std::vector<part_key> outdated;
    };

    /// Takes over what another daemon knows: the higher count of crashes, and the schedule with more trials.
    merge_result merge(const std::vector<part_record>& records, base::time_point now);

private:
    struct suspect {
        std::size_t crashes = 0;
        /// Last crash, or last refusal of a request with the quarantined part.
        base::time_point last_seen;
        /// Last crash that was not counted as one with an earlier one.
        base::time_point last_counted;
        bool quarantined = false;
        std::uint64_t trials = 0;
        base::time_point next_trial;
    };

    static bool is_expired(const suspect& row, base::time_point now);
    void remove_expired(base::time_point now);
    bool is_quarantined(part_key part) const;
    bool has_room(part_key part) const;
    void remember_clearance(part_key part, base::time_point now);
    bool is_outdated(const part_record& record, base::time_point now) const;
    static void begin_quarantine(suspect& row, base::time_point now);
    static part_record to_record(part_key part, const suspect& row, base::time_point now);
    static bool merge_row(suspect& row, const part_record& record, base::time_point now);

    mutable std::mutex mutex_;
    std::map<part_key, suspect> suspects_;
    /// Times of clearances, at most `max_suspects`.
    std::map<part_key, base::time_point> cleared_;
};

} // namespace rattanbay::relay
