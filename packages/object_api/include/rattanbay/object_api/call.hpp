#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/store_revision.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace rattanbay::object_api {

/// Kind of the objects whose names are failure domains to which nothing more is to be sent.
constexpr std::string_view evacuated_domain_kind = "evacuated-domains";

/// Kind and name of an object.
struct object_key {
    std::string kind;
    std::string name;

    friend bool operator==(const object_key&, const object_key&) = default;
    friend auto operator<=>(const object_key&, const object_key&) = default;
};

/// Reads an object; answered by `object`, `not_found` or `failed`.
struct read_object {
    object_key key;
};

/// Writes an object if it has the expected version or, without an expected version, if it does not exist;
/// answered by `written`, `conflict`, `not_found` or `failed`. After `failed` the write may have taken
/// effect.
struct write_object {
    object_key key;
    std::optional<std::uint64_t> expected_version;
    /// JSON text, at most 1 MB.
    std::string value;
};

/// Deletes an object if it has the expected version; answered by `deleted`, `conflict`, `not_found` or
/// `failed`.
struct delete_object {
    object_key key;
    std::uint64_t expected_version = 0;
};

/// Lists the objects of a kind or a page of them; answered by `object_list` or `failed`.
struct list_objects {
    std::string kind;
    /// Whether the answer may show an older state of the store, which some platforms offer at a lower price.
    bool may_be_stale = false;
    /// Cursor of the page; empty for the first page.
    std::string after = {};
};

/// Waits until an object of a kind is created, changed or removed after the revision `after`; answered by
/// `object_names`, `object_name_changes`, `unchanged`, `history_lost` or `failed`. With `after` unset it is
/// answered immediately with all names. Platforms without a count for all objects always answer so.
struct watch_names {
    std::string kind;
    store_revision after{};
    base::duration wait{};
    bool may_be_stale = false;
    /// Cursor of the page to read if `after` is unset; empty for the first page.
    std::string page_after;
};

/// Waits until an object changes after the revision `after`; answered by `object`, `unchanged`,
/// `history_lost` or `failed`. With `after` unset it is answered immediately; platforms that look the object
/// up in a list answer `on_later_page` if the page does not show it and the list continues.
struct watch_object {
    object_key key;
    store_revision after{};
    base::duration wait{};
    bool may_be_stale = false;
    /// Cursor of the page to read if `after` is unset; empty for the first page.
    std::string page_after = {};
};

/// Reads the VM list or a page of it; answered by `vm_list`, `vm_page` or `failed`.
struct list_vms {
    /// Cursor of the page; empty for the first page.
    std::string after;
};

/// Waits until the VM list changes after the revision `after`; answered by `vm_list`, `vm_changes`,
/// `unchanged`, `history_lost` or `failed`. With `after` unset it is answered immediately.
struct watch_vms {
    store_revision after{};
    base::duration wait{};
    bool may_be_stale = false;
};

using call = std::variant<read_object, write_object, delete_object, list_objects, watch_object, list_vms,
                          watch_vms, watch_names>;

} // namespace rattanbay::object_api
