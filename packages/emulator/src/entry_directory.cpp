#include <rattanbay/emulator/entry_directory.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::emulator {

entry_directory::entry_directory(std::vector<base::address> seeds)
    : seeds_(std::move(seeds)) {
    assert(!seeds_.empty());
}

bool entry_directory::stale(base::time_point now) const {
    return !has_list() || now - updated_at_ >= list_.max_age;
}

base::address entry_directory::next_refresh_target(base::time_point now) {
    std::vector<base::address> targets;
    for (const entry& row : list_.entries) {
        targets.push_back(row.address);
    }
    targets.insert(targets.end(), seeds_.begin(), seeds_.end());
    const std::size_t first = next_target_++;
    for (std::size_t n = 0; n < targets.size(); ++n) {
        const base::address& target = targets[(first + n) % targets.size()];
        if (!failed_recently(target, now)) {
            return target;
        }
    }
    return targets[first % targets.size()];
}

void entry_directory::update(entry_list list, base::time_point now) {
    list_ = std::move(list);
    updated_at_ = now;
    next_target_ = 0;
}

void entry_directory::record_failure(const base::address& address, base::time_point now) {
    failures_[address] = now;
}

std::optional<entry> entry_directory::select_entry(const std::vector<base::address>& tried,
                                                   base::time_point now) const {
    const auto untried = [&tried](const entry& row) {
        return std::find(tried.begin(), tried.end(), row.address) == tried.end();
    };
    const auto preferred = [this, now, &untried](const entry& row) {
        return untried(row) && !failed_recently(row.address, now);
    };
    const std::vector<entry>& entries = list_.entries;
    auto it = std::find_if(entries.begin(), entries.end(), preferred);
    if (it == entries.end()) {
        it = std::find_if(entries.begin(), entries.end(), untried);
    }
    if (it == entries.end()) {
        it = entries.begin();
    }
    return it == entries.end() ? std::nullopt : std::optional(*it);
}

bool entry_directory::failed_recently(const base::address& address, base::time_point now) const {
    const auto it = failures_.find(address);
    return it != failures_.end() && now - it->second < failure_cooldown;
}

} // namespace rattanbay::emulator
