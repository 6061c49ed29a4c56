#pragma once

#include <rattanbay/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rattanbay::object_api {

/// Kind and name of an object.
struct object_key {
    std::string kind;
    std::string name;

    friend bool operator==(const object_key&, const object_key&) = default;
    friend auto operator<=>(const object_key&, const object_key&) = default;
};

/// Reads an object; answered by `object`, `absent` or `failed`.
struct read_object {
    object_key key;
};

/// Writes an object if its version is the expected one, or, without an expected version, if it
/// does not exist; answered by `written`, `conflict`, `absent` or `failed`. After `failed` the
/// write may have taken effect.
struct write_object {
    object_key key;
    std::optional<std::uint64_t> expected_version;
    /// JSON text, at most 1 MB.
    std::string value;
};

/// Deletes an object if its version is the expected one; answered by `deleted`, `conflict`,
/// `absent` or `failed`.
struct delete_object {
    object_key key;
    std::uint64_t expected_version = 0;
};

/// Lists the objects of a kind; answered by `listing` or `failed`.
struct list_objects {
    std::string kind;
};

/// Waits until an object's version is above `after`; answered by `object`, `unchanged`,
/// `history_lost` or `failed`. With `after` 0 it answers at once.
struct watch_object {
    object_key key;
    std::uint64_t after = 0;
    base::duration wait{};
};

/// Reads the VM list or a part of it; answered by `vm_list`, `vm_page` or `failed`.
struct list_vms {
    /// Name behind which the part begins; empty for the beginning.
    std::string after;
};

/// Waits until the VM list's version is above `after`; answered by `vm_list`, `vm_changes`,
/// `unchanged`, `history_lost` or `failed`. With `after` 0 it answers at once.
struct watch_vms {
    std::uint64_t after = 0;
    base::duration wait{};
};

using call =
    std::variant<read_object, write_object, delete_object, list_objects, watch_object, list_vms, watch_vms>;

} // namespace rattanbay::object_api
