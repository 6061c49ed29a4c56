#pragma once

#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/vm_directory.hpp>

#include <optional>

namespace rattanbay::object_api {

/// Changes of the VM list that a daemon which reads the store tells other daemons.
struct vm_list_update {
    /// Revision up to which a receiver has to know all changes of the list to apply these.
    store_revision after;
    /// Without entries if the sender read the whole list again and found it changed. `newest_change` is then
    /// the version of the list, as a list does not show when entries were removed.
    vm_changes changes;
};

/// What a daemon does with an update of another daemon.
enum class update_decision { ignore, apply, read_list };

/// Builds the updates that a daemon tells others, and decides on those of others. A lost update leaves a gap
/// in what a daemon knows, so an update names the revision that it continues.
class vm_update_tracker {
public:
    /// Records that the directory, which had the version `before`, has applied an answer of the platform:
    /// these changes, or a complete list if null. `is_changed` says whether the VMs to use have changed.
    /// Returns the update to tell others; nothing if there is no news.
    std::optional<vm_list_update> record(const vm_directory& directory, const store_revision& before,
                                         const vm_changes* changes, bool is_changed);

    /// Decides on an update. The directory has to apply its changes if the decision is `apply`.
    static update_decision decide(const vm_list_update& update, const vm_directory& directory);

private:
    /// No change of the list between this revision and the directory's version is unknown to this daemon, and
    /// none is later: the version of the last complete list, or the newest change since.
    store_revision last_change_;
};

} // namespace rattanbay::object_api
