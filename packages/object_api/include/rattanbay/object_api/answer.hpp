#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::object_api {

/// An object's version and value.
struct object {
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
    /// Version of the whole store when the object was read, for platforms with one version for all
    /// objects; 0 when the platform has none.
    std::uint64_t store_version = 0;
};

/// The write took effect; `version` is the object's new version.
struct written {
    std::uint64_t version = 0;
};

/// The deletion took effect.
struct deleted {};

/// The condition did not hold; `version` is the object's version.
struct conflict {
    std::uint64_t version = 0;
};

/// The object does not exist.
struct absent {};

/// Nothing changed during the wait.
struct unchanged {
    /// Version up to which nothing changed, for platforms with one version for all objects; 0 when
    /// the watch goes on from where it was.
    std::uint64_t version = 0;
};

/// The platform no longer knows what changed since the version of the watch; the state has to be
/// read anew.
struct history_lost {};

/// A part of the VM list, in the order of the names.
struct vm_page {
    std::uint64_t version = 0;
    std::vector<vm> vms;
    /// Name behind which the next part begins; nothing when this is the last part.
    std::optional<std::string> next;
    /// Entries that were left out because they cannot be read or name no VM to use.
    std::size_t unusable = 0;
    /// Name behind which this part begins; empty for the first one.
    std::string after;
};

/// What changed in the VM list.
struct vm_changes {
    std::uint64_t version = 0;
    std::vector<vm> changed;
    std::vector<base::vm_id> removed;
    /// Entries among the removed ones that are there but cannot be used.
    std::size_t unusable = 0;
};

/// Names and versions of the objects of a kind.
struct listing {
    struct row {
        std::string name;
        std::uint64_t version = 0;
    };

    std::vector<row> objects;
};

/// No usable answer came. A write or deletion may have taken effect.
struct failed {
    base::error reason;
};

using answer = std::variant<object, written, deleted, conflict, absent, unchanged, history_lost, listing,
                            vm_list, vm_page, vm_changes, failed>;

} // namespace rattanbay::object_api
