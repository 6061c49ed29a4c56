#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/object_api/store_revision.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::object_api {

/// Version and value of an object.
struct object {
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
    /// Revision of the whole store at the time of the read, for platforms with one count for all objects;
    /// unset if the platform has none.
    store_revision store_version{};
    /// Revision from which the next watch of the object continues; unset after a read.
    store_revision next_watch{};
};

/// The write took effect; `version` is the object's new version.
struct written {
    std::uint64_t version = 0;
};

/// The deletion took effect.
struct deleted {};

/// The condition failed; `version` is the object's current version.
struct conflict {
    std::uint64_t version = 0;
};

/// The object does not exist.
struct not_found {};

/// Nothing changed during the watch's wait time.
struct unchanged {
    /// Revision up to which nothing changed, for platforms with one count for all objects; unset if the next
    /// watch starts from the same revision.
    store_revision version{};
};

/// The page that was read does not show the object, and the list continues.
struct on_later_page {
    /// Cursor of the next page.
    std::string next_after;
};

/// The platform no longer has the history since the version of the watch; the state must be read again.
struct history_lost {
    /// Era of the store; 0 on platforms without eras.
    std::uint64_t era = 0;
};

/// A page of the VM list, ordered by name.
struct vm_page {
    store_revision version{};
    std::vector<vm> vms;
    /// Cursor of the next page: the last name of this one; nothing if this is the last page.
    std::optional<std::string> next_after;
    /// Number of entries left out because they are malformed or describe no usable VM.
    std::size_t unusable_count = 0;
    /// Cursor of this page; empty for the first page.
    std::string after;
    /// Revision of the newest change in the page; at most `version`.
    store_revision newest_change{};
};

/// Changes of the VM list.
struct vm_changes {
    store_revision version{};
    std::vector<vm> changed;
    std::vector<base::vm_id> removed;
    /// Number of entries in `removed` that exist but are unusable.
    std::size_t unusable_count = 0;
    /// Revision of the newest of the changes; at most `version`.
    store_revision newest_change{};
};

/// Names and versions of the objects of a kind, or a page of them.
struct object_list {
    struct row {
        std::string name;
        std::uint64_t version = 0;
    };

    std::vector<row> objects;
    /// Cursor of the next page; nothing if this is the last page.
    std::optional<std::string> next_after = std::nullopt;
};

/// A page of the names of the objects of a kind, without those that are being deleted.
struct object_names {
    /// Unset on platforms without a count for all objects.
    store_revision version{};
    std::vector<std::string> names;
    /// Cursor of the next page; nothing if this is the last page.
    std::optional<std::string> next_after;
};

/// Objects of a kind that were created and removed. An object that is being deleted counts as removed.
struct object_name_changes {
    store_revision version{};
    std::vector<std::string> created;
    std::vector<std::string> removed;
};

/// No valid answer was received. A write or deletion may have taken effect.
struct failed {
    base::error reason;
};

using answer =
    std::variant<object, written, deleted, conflict, not_found, unchanged, history_lost, object_list, vm_list,
                 vm_page, vm_changes, failed, object_names, object_name_changes, on_later_page>;

} // namespace rattanbay::object_api
