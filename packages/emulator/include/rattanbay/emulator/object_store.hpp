#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattanbay::emulator {

/// Versioned object store with conditional writes. Versions increase across all objects. Earlier
/// revisions are retained so that reads can return stale data.
class object_store {
public:
    /// Retains earlier revisions for `retention`.
    explicit object_store(base::duration retention)
        : retention_(retention) {}

    /// Returns the object as of `at`: `object` or `not_found`. Times before the retained history
    /// yield the oldest retained revision.
    object_api::answer read(const object_api::object_key& key, base::time_point at) const;

    /// Returns names and versions of the objects of a kind as of `at`.
    object_api::object_list list(const std::string& kind, base::time_point at) const;

    /// Writes if the condition holds. Returns `written`, `conflict`, or `not_found` if a version is
    /// expected but the object does not exist.
    object_api::answer write(const object_api::write_object& call, base::time_point now);

    /// Deletes if the version matches. Returns `deleted`, `conflict` or `not_found`.
    object_api::answer remove(const object_api::delete_object& call, base::time_point now);

    /// Allocates a version for data outside the store that shares its version sequence.
    std::uint64_t next_version() { return ++version_; }

private:
    /// Revision of an object, valid until the next one.
    struct revision {
        base::time_point valid_from;
        std::uint64_t version = 0;
        /// Null if the object does not exist.
        std::shared_ptr<const std::string> value;
    };

    /// Revisions of one object, oldest first.
    using revisions = std::deque<revision>;

    const revision* current(const object_api::object_key& key) const;
    static const revision* revision_at(const revisions& list, base::time_point at);
    void append(const object_api::object_key& key, revision next);

    base::duration retention_;
    std::uint64_t version_ = 0;
    std::map<object_api::object_key, revisions> objects_;
};

} // namespace rattanbay::emulator
