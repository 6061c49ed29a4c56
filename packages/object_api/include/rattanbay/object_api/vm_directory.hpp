#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rattanbay::object_api {

/// The VM list as parts and changes of it build it up. Entries that lapsed while the platform was
/// away are kept for a while after its return, as their VMs may be well and need time to list
/// themselves again.
class vm_directory {
public:
    /// `relisting` is the time that a VM takes to list itself again.
    explicit vm_directory(base::duration relisting);

    /// Where the next part of the list begins, or nothing when the list is whole and changes are to
    /// be watched.
    const std::optional<std::string>& missing_part() const { return missing_part_; }

    /// Takes a part of the list; the entries that the whole list lacks go with its last part.
    void take(const vm_page& page, base::time_point now);

    /// Takes the whole list.
    void take(const vm_list& list, base::time_point now);

    /// Takes changes since `version`.
    void take(const vm_changes& changes, base::time_point now);

    /// Nothing changed up to a version.
    void advance(std::uint64_t version);

    /// The history since `version` is gone: the list has to be read anew.
    void lose_history();

    /// The platform answers again after it was away.
    void platform_returned(base::time_point now);

    /// Removes the entries whose time to be listed again has passed; true when there were some.
    bool expire(base::time_point now);

    std::uint64_t version() const { return version_; }

    vm_list list() const;

private:
    struct entry {
        vm listed;
        /// Whether the part of the list that is being read has it.
        bool seen = false;
        /// When an entry that has lapsed is removed.
        std::optional<base::time_point> removal;
    };

    void put(const vm& listed);
    void lapse(std::map<base::vm_id, entry>::iterator it, base::time_point now);

    base::duration relisting_;
    std::map<base::vm_id, entry> entries_;
    std::uint64_t version_ = 0;
    std::optional<std::string> missing_part_{""};
    /// Version of the first part, from which changes are watched once all parts are read.
    std::uint64_t listing_version_ = 0;
    base::time_point relisting_end_{};
};

} // namespace rattanbay::object_api
