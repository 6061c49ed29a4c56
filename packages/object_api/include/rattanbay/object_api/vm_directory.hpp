#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace rattanbay::object_api {

/// The VM list, assembled from pages and incremental changes. Answers of concurrent calls may be applied in
/// any order: an entry is only replaced by an answer of a version that is at least as high. An answer of a
/// newer era starts the list again from its first page, and answers of earlier eras are ignored from then on;
/// the entries remain listed until the new list is complete. Entries that expired during an outage of the
/// platform are kept for a grace period after its recovery, because their VMs may be healthy and need time to
/// register again.
class vm_directory {
public:
    /// `relisting_grace_period` is the time a VM may take to register again after an outage. Unless
    /// `keeps_cold_times` is set, the list leaves them out, so that it does not change with each of them.
    explicit vm_directory(base::duration relisting_grace_period, bool keeps_cold_times = false);

    /// Cursor of the next page to read, or nothing if the list is complete and changes can be watched.
    const std::optional<std::string>& next_page_after() const { return next_page_after_; }

    /// Whether a complete list is older than this one, so that `apply` ignores it.
    bool is_stale(const vm_list& list) const { return list.version < version_ || list.version.era() < era_; }

    /// Whether a page is of an earlier era, or older than the list or than the first page of the listing in
    /// progress, so that `apply` ignores it.
    bool is_stale(const vm_page& page) const;

    /// Applies a page of the list. Entries that are in none of the pages are removed with the last page.
    void apply(const vm_page& page, base::time_point now);

    /// Applies a complete list.
    void apply(const vm_list& list, base::time_point now);

    /// Applies changes since `version`.
    void apply(const vm_changes& changes, base::time_point now);

    /// Records that nothing changed up to `version`.
    void advance_to(const store_revision& version);

    /// Starts reading the list again from its first page, after the history since `version` was lost.
    void restart_listing();

    /// Starts reading the list again if a watch from `after` found that the history since then is lost in
    /// this era of the store, or in an unknown one, 0. Does nothing if the list was read since, or if a
    /// listing of this era is in progress.
    void lose_history(const store_revision& after, std::uint64_t era);

    /// Newest known era of the store.
    std::uint64_t era() const { return era_; }

    /// Starts reading the list again if the store has come back from a copy and begun this era. The copy may
    /// show VMs as live that have left since. One that was leaving stays so until it starts anew. One that
    /// was removed is listed as leaving until the platform would have removed its entry again.
    void begin_era(std::uint64_t era, base::time_point now);

    /// Starts the grace period after an outage of the platform.
    void platform_recovered(base::time_point now);

    /// Removes the entries whose grace period has ended, and lists those again that a copy restored and the
    /// platform kept; returns whether the list changed.
    bool remove_expired(base::time_point now);

    /// Version up to which all changes are known.
    const store_revision& version() const { return version_; }

    /// Version of the newest change that was applied; at most `version`. A platform whose versions count all
    /// its objects advances `version` without changes of the VM list.
    const store_revision& newest_change() const { return newest_change_; }

    /// The VMs to use. A missing entry in its grace period is only included if most live entries of its
    /// service are missing: an outage lets all of them expire, while single ones are VMs that have left.
    vm_list list() const;

private:
    struct entry {
        vm listed;
        /// Version of the answer that described the entry last.
        store_revision version;
        /// Time at which an expired entry is removed.
        std::optional<base::time_point> removal_time;
        /// Time until which an entry that a copy restored is listed as leaving.
        std::optional<base::time_point> restored_until;
    };

    /// A VM that was leaving or was removed, by its identifier.
    struct departure {
        std::uint64_t started_ms = 0;
        /// Era in which it was removed; nothing if it was leaving.
        std::optional<std::uint64_t> removed_in;
        base::time_point time;
    };

    /// Starts reading the list again if the era is newer than the known ones.
    void observe_era(std::uint64_t era);
    void upsert(const vm& listed, const store_revision& version, base::time_point now);
    /// Records that the VM is leaving, or that it was removed.
    void record_departure(const vm& listed, bool is_removed, base::time_point now);
    void apply_removal(const base::vm_id& id, const store_revision& version, base::time_point now);
    /// Services that have more missing entries than live ones.
    std::set<base::service_name> mostly_missing_services() const;
    void handle_missing(std::map<base::vm_id, entry>::iterator it, base::time_point now);

    base::duration relisting_grace_period_;
    bool keeps_cold_times_;
    std::map<base::vm_id, entry> entries_;
    /// Versions at which VMs were removed while the listing in progress was read. Older pages may contain
    /// them.
    std::map<base::vm_id, store_revision> removed_versions_;
    /// Departures of the last `departure_memory`.
    std::map<base::vm_id, departure> departures_;
    store_revision version_;
    std::uint64_t era_ = 0;
    store_revision newest_change_;
    std::optional<std::string> next_page_after_{""};
    /// Version of the first page; changes are watched from here after the last page.
    store_revision listing_version_;
    base::time_point relisting_deadline_{};
};

} // namespace rattanbay::object_api
