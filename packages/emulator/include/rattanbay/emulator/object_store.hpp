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

/// Versioned objects of the platform with conditional writes. Versions increase across all
/// objects. Earlier states are kept for a while, so that reads can be answered from a stale copy.
class object_store {
public:
    /// Keeps earlier states for `history`.
    explicit object_store(base::duration history)
        : history_(history) {}

    /// State of an object at `at`: `object` or `absent`. Times before the history give the oldest
    /// state that is kept.
    object_api::answer read(const object_api::object_key& key, base::time_point at) const;

    /// Names and versions of the objects of a kind at `at`.
    object_api::object_list list(const std::string& kind, base::time_point at) const;

    /// Writes if the condition holds: `written`, `conflict`, or `absent` when a version is expected
    /// of an object that does not exist.
    object_api::answer write(const object_api::write_object& call, base::time_point now);

    /// Deletes if the version is the expected one: `deleted`, `conflict` or `absent`.
    object_api::answer remove(const object_api::delete_object& call, base::time_point now);

    /// Takes the next version, for state that is kept elsewhere but shares the numbering.
    std::uint64_t take_version() { return ++version_; }

private:
    /// State of an object from a point in time on.
    struct state {
        base::time_point since;
        std::uint64_t version = 0;
        /// Null when the object does not exist.
        std::shared_ptr<const std::string> value;
    };

    /// States of one object, oldest first.
    using states = std::deque<state>;

    const state* current(const object_api::object_key& key) const;
    static const state* state_at(const states& list, base::time_point at);
    void append(const object_api::object_key& key, state next);

    base::duration history_;
    std::uint64_t version_ = 0;
    std::map<object_api::object_key, states> objects_;
};

} // namespace rattanbay::emulator
