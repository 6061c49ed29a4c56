#include <rattanbay/base/hash.hpp>
#include <rattanbay/relay/part_quarantine.hpp>

#include <algorithm>

namespace rattanbay::relay {

namespace {

/// Crashes within this time of the previous one are counted as one.
constexpr std::chrono::milliseconds common_cause_window{500};
/// Time after the last crash for which a suspect that is not quarantined is remembered, and for which a part
/// stays quarantined.
constexpr std::chrono::seconds suspicion_lifetime{30};
constexpr std::chrono::seconds quarantine_lifetime{120};
/// Time until the first trial. It doubles with each trial up to the maximum.
constexpr std::chrono::seconds min_trial_interval{10};
constexpr std::chrono::seconds max_trial_interval{60};

} // namespace

std::vector<part_key> shared_part_keys(const base::service_name& service, const prompt& prompt) {
    std::vector<part_key> out;
    for (std::size_t n = 0; n + 1 < prompt.parts.size(); ++n) {
        out.push_back(base::secure_hash(service.text() + "/" + prompt.parts[n].id).low);
    }
    return out;
}

bool part_quarantine::is_expired(const suspect& row, base::time_point now) {
    return now - row.last_crash > (row.quarantined ? quarantine_lifetime : suspicion_lifetime);
}

void part_quarantine::remove_expired(base::time_point now) {
    std::erase_if(suspects_, [now](const auto& entry) { return is_expired(entry.second, now); });
}

bool part_quarantine::is_quarantined(part_key part) const {
    const auto it = suspects_.find(part);
    return it != suspects_.end() && it->second.quarantined;
}

void part_quarantine::begin_quarantine(suspect& row, base::time_point now) {
    row.quarantined = true;
    row.trial_interval = min_trial_interval;
    row.next_trial = now + row.trial_interval;
}

std::vector<part_key> part_quarantine::record_crash(const std::vector<part_key>& parts,
                                                    base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_expired(now);
    std::vector<part_key> out;
    const bool is_explained =
        std::ranges::any_of(parts, [this](part_key part) { return is_quarantined(part); });
    for (const part_key part : parts) {
        if ((is_explained && !is_quarantined(part)) ||
            (suspects_.size() >= max_suspects && !suspects_.contains(part))) {
            continue;
        }
        suspect& row = suspects_[part];
        const bool is_counted = row.crashes > 0 && now - row.last_counted < common_cause_window;
        row.last_crash = now;
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

std::vector<part_key> part_quarantine::record_answer(const std::vector<part_key>& parts) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<part_key> out;
    if (!suspects_.empty()) {
        std::ranges::copy_if(parts, std::back_inserter(out),
                             [this](part_key part) { return suspects_.erase(part) > 0; });
    }
    return out;
}

std::vector<part_key> part_quarantine::clear(const std::vector<part_key>& parts) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<part_key> out;
    for (const part_key part : parts) {
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
    if (suspects_.size() >= max_suspects && !suspects_.contains(part)) {
        return;
    }
    suspect& row = suspects_[part];
    if (!row.quarantined) {
        row.last_crash = now;
        begin_quarantine(row, now);
    }
}

std::optional<quarantined_part> part_quarantine::find(const std::vector<part_key>& parts,
                                                      base::time_point now) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const part_key part : parts) {
        const auto it = suspects_.find(part);
        if (it != suspects_.end() && it->second.quarantined && !is_expired(it->second, now)) {
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
        row->trial_interval = std::min<base::duration>(row->trial_interval * 2, max_trial_interval);
        row->next_trial = now + row->trial_interval;
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

} // namespace rattanbay::relay
