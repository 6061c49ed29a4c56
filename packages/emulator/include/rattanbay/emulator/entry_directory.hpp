#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/entry_list.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace rattanbay::emulator {

/// Entry VMs known to one caller: the configured seed addresses and the most recently received
/// list.
class entry_directory {
public:
    /// Time during which a failed entry is avoided if others are available.
    static constexpr base::duration failure_cooldown = std::chrono::seconds(1);

    /// `seeds` are the configured addresses, at least one.
    explicit entry_directory(std::vector<base::address> seeds);

    /// Whether there is no list or it has exceeded its maximum age.
    bool stale(base::time_point now) const;

    /// Whether a list was ever received. A stale list remains in use until a newer one arrives.
    bool has_list() const { return !list_.entries.empty(); }

    /// Returns the next address to fetch the list from: entries and seeds in turn, recently failed
    /// ones only if there is no other.
    base::address next_refresh_target(base::time_point now);

    void update(entry_list list, base::time_point now);

    void record_failure(const base::address& address, base::time_point now);

    /// Returns the best untried entry that has not failed recently, else the best untried entry,
    /// else the best entry; `std::nullopt` without a list.
    std::optional<entry> select_entry(const std::vector<base::address>& tried, base::time_point now) const;

private:
    bool failed_recently(const base::address& address, base::time_point now) const;

    std::vector<base::address> seeds_;
    entry_list list_;
    base::time_point updated_at_;
    std::size_t next_target_ = 0;
    std::map<base::address, base::time_point> failures_;
};

} // namespace rattanbay::emulator
