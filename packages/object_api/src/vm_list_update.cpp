#include <rattanbay/object_api/vm_list_update.hpp>

#include <algorithm>

namespace rattanbay::object_api {

std::optional<vm_list_update> vm_update_tracker::record(const vm_directory& directory,
                                                        const store_revision& before,
                                                        const vm_changes* changes, bool is_changed) {
    const store_revision previous_change = last_change_;
    last_change_ =
        std::max(last_change_, changes != nullptr ? directory.newest_change() : directory.version());
    if (before.is_unset() || directory.version() <= before) {
        return std::nullopt;
    }
    if (changes != nullptr) {
        return vm_list_update{previous_change, *changes};
    }
    if (!is_changed) {
        return std::nullopt;
    }
    vm_changes notice;
    notice.version = directory.version();
    notice.newest_change = directory.version();
    return vm_list_update{directory.version(), std::move(notice)};
}

update_decision vm_update_tracker::decide(const vm_list_update& update, const vm_directory& directory) {
    const store_revision& known = directory.version();
    const bool is_listing = directory.next_page_after().has_value();
    if (is_listing || update.changes.version.era() != known.era() || update.changes.version <= known) {
        return update_decision::ignore;
    }
    const bool has_entries = !update.changes.changed.empty() || !update.changes.removed.empty();
    return has_entries && update.after <= known ? update_decision::apply : update_decision::read_list;
}

} // namespace rattanbay::object_api
