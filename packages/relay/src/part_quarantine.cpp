#include <rattanbay/base/hash.hpp>
#include <rattanbay/relay/part_quarantine.hpp>

#include <algorithm>
#include <utility>

namespace rattanbay::relay {

namespace {

/// Crashes within this time of the previous one are counted as one.
constexpr std::chrono::milliseconds common_cause_window{500};
/// Time after the last crash for which a suspect that is not quarantined is remembered, and after the last
/// crash or refused request for which a part stays quarantined.
constexpr std::chrono::seconds suspicion_lifetime{30};
constexpr std::chrono::seconds quarantine_lifetime{120};
/// Time until the first trial. It doubles with each trial up to the maximum.
constexpr std::chrono::seconds min_trial_interval{10};
constexpr std::chrono::seconds max_trial_interval{60};
/// Difference in times up to which two daemons mean the same event, as messages take time. Without it, times
/// would grow by that with each daemon that passes them on.
constexpr std::chrono::seconds time_tolerance{1};
/// Bounds for numbers that other daemons tell.
constexpr std::uint64_t max_count = 1'000'000;

/// Time from a trial, or from the verdict if there was none, to the next one.
base::duration trial_interval(std::uint64_t trials) {
    base::duration out = min_trial_interval;
    for (std::uint64_t n = 0; n < trials && out < max_trial_interval; ++n) {
        out *= 2;
    }
    return std::min<base::duration>(out, max_trial_interval);
}

} // namespace

std::vector<part_key> shared_part_keys(const base::service_name& service, const prompt& prompt) {
    std::vector<part_key> out;
    for (std::size_t n = 0; n + 1 < prompt.parts.size(); ++n) {
        out.push_back(base::secure_hash(service.text() + "/" + prompt.parts[n].id).low);
    }
    return out;
}

bool part_quarantine::is_expired(const suspect& row, base::time_point now) {
    return now - row.last_seen > (row.quarantined ? quarantine_lifetime : suspicion_lifetime);
}

void part_quarantine::remove_expired(base::time_point now) {
    std::erase_if(suspects_, [now](const auto& entry) { return is_expired(entry.second, now); });
    std::erase_if(cleared_, [now](const auto& entry) { return now - entry.second > quarantine_lifetime; });
}

bool part_quarantine::has_room(part_key part) const {
    return suspects_.size() < max_suspects || suspects_.contains(part);
}

void part_quarantine::remember_clearance(part_key part, base::time_point now) {
    if (cleared_.size() < max_suspects || cleared_.contains(part)) {
        cleared_[part] = now;
    }
}

bool part_quarantine::is_outdated(const part_record& record, base::time_point now) const {
    const auto it = cleared_.find(record.part);
    // Refusals at a daemon that missed the clearance are no evidence.
    return it != cleared_.end() && now - record.since_last_counted < it->second + time_tolerance;
}

bool part_quarantine::is_quarantined(part_key part) const {
    const auto it = suspects_.find(part);
    return it != suspects_.end() && it->second.quarantined;
}

void part_quarantine::begin_quarantine(suspect& row, base::time_point now) {
    row.quarantined = true;
    row.trials = 0;
    row.next_trial = now + trial_interval(row.trials);
}

std::vector<part_key> part_quarantine::record_crash(const std::vector<part_key>& parts,
                                                    base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_expired(now);
    std::vector<part_key> out;
    const bool is_explained =
        std::ranges::any_of(parts, [this](part_key part) { return is_quarantined(part); });
    for (const part_key part : parts) {
        if ((is_explained && !is_quarantined(part)) || !has_room(part)) {
            continue;
        }
        suspect& row = suspects_[part];
        const bool is_counted = row.crashes > 0 && now - row.last_counted < common_cause_window;
        row.last_seen = now;
        if (is_counted) {
            continue;
        }
        row.last_counted = now;
        ++row.crashes;
        if (!row.quarantined && row.crashes >= crash_threshold) {
            begin_quarantine(row, now);
            out.push_back(part);
        }
    }
    return out;
}

std::vector<part_key> part_quarantine::record_answer(const std::vector<part_key>& parts,
                                                     base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<part_key> out;
    for (const part_key part : parts) {
        if (suspects_.erase(part) > 0) {
            remember_clearance(part, now);
            out.push_back(part);
        }
    }
    return out;
}

std::vector<part_key> part_quarantine::clear(const std::vector<part_key>& parts, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_expired(now);
    std::vector<part_key> out;
    for (const part_key part : parts) {
        remember_clearance(part, now);
        const auto it = suspects_.find(part);
        if (it != suspects_.end()) {
            if (it->second.quarantined) {
                out.push_back(part);
            }
            suspects_.erase(it);
        }
    }
    return out;
}

void part_quarantine::quarantine(part_key part, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_expired(now);
    if (!has_room(part)) {
        return;
    }
    suspect& row = suspects_[part];
    if (!row.quarantined) {
        row.last_seen = now;
        begin_quarantine(row, now);
    }
}

std::optional<quarantined_part> part_quarantine::find(const std::vector<part_key>& parts,
                                                      base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const part_key part : parts) {
        const auto it = suspects_.find(part);
        if (it != suspects_.end() && it->second.quarantined && !is_expired(it->second, now)) {
            it->second.last_seen = now;
            return quarantined_part{part, std::max(base::duration::zero(), it->second.next_trial - now)};
        }
    }
    return std::nullopt;
}

bool part_quarantine::try_begin_trial(const std::vector<part_key>& parts, base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<suspect*> rows;
    for (const part_key part : parts) {
        const auto it = suspects_.find(part);
        if (it != suspects_.end() && it->second.quarantined) {
            rows.push_back(&it->second);
        }
    }
    if (std::ranges::any_of(rows, [now](const suspect* row) { return now < row->next_trial; })) {
        return false;
    }
    for (suspect* const row : rows) {
        ++row->trials;
        row->next_trial = now + trial_interval(row->trials);
    }
    return true;
}

std::vector<part_key> part_quarantine::quarantined_parts(base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<part_key> out;
    for (const auto& [part, row] : suspects_) {
        if (row.quarantined && !is_expired(row, now)) {
            out.push_back(part);
        }
    }
    return out;
}

part_record part_quarantine::to_record(part_key part, const suspect& row, base::time_point now) {
    return part_record{part,
                       row.crashes,
                       now - row.last_seen,
                       now - row.last_counted,
                       row.quarantined,
                       row.trials,
                       row.quarantined ? row.next_trial - now : base::duration::zero()};
}

std::vector<part_record> part_quarantine::records(base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<part_record> out;
    for (const auto& [part, row] : suspects_) {
        if (!is_expired(row, now)) {
            out.push_back(to_record(part, row, now));
        }
    }
    return out;
}

std::vector<part_record> part_quarantine::records(const std::vector<part_key>& parts,
                                                  base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<part_record> out;
    for (const part_key part : parts) {
        const auto it = suspects_.find(part);
        if (it != suspects_.end() && !is_expired(it->second, now)) {
            out.push_back(to_record(part, it->second, now));
        }
    }
    return out;
}

bool part_quarantine::merge_row(suspect& row, const part_record& record, base::time_point now) {
    const auto set_later = [](base::time_point& mine, base::time_point other) {
        if (other > mine + time_tolerance) {
            mine = other;
        }
    };
    row.crashes = std::max<std::size_t>(row.crashes, std::min(record.crashes, max_count));
    set_later(row.last_seen, now - record.since_last_seen);
    set_later(row.last_counted, now - record.since_last_counted);
    if (!record.quarantined) {
        return false;
    }
    const std::uint64_t trials = std::min(record.trials, max_count);
    const base::time_point next_trial =
        now + std::min<base::duration>(record.time_to_trial, max_trial_interval);
    if (!row.quarantined || trials > row.trials) {
        row.trials = trials;
        row.next_trial = next_trial;
    } else if (trials == row.trials) {
        set_later(row.next_trial, next_trial);
    }
    return !std::exchange(row.quarantined, true);
}

part_quarantine::merge_result part_quarantine::merge(const std::vector<part_record>& records,
                                                     base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_expired(now);
    merge_result out;
    for (const part_record& record : records) {
        const base::duration lifetime = record.quarantined ? quarantine_lifetime : suspicion_lifetime;
        const bool is_usable = record.since_last_seen >= base::duration::zero() &&
                               record.since_last_counted >= record.since_last_seen &&
                               record.since_last_seen <= lifetime;
        if (!is_usable || !has_room(record.part)) {
            continue;
        }
        if (is_outdated(record, now)) {
            out.outdated.push_back(record.part);
        } else if (merge_row(suspects_[record.part], record, now)) {
            out.quarantined.push_back(record.part);
        }
    }
    return out;
}

} // namespace rattanbay::relay
