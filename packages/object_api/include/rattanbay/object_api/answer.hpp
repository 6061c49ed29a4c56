#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::object_api {

/// An object's version and value.
struct object {
    std::uint64_t version = 0;
    /// JSON text.
    std::string value;
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
struct unchanged {};

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

using answer = std::variant<object, written, deleted, conflict, absent, unchanged, listing, vm_list, failed>;

} // namespace rattanbay::object_api
