#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/store_revision.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace rattanbay::object_api {

/// A set of failure domains to which nothing more is to be sent, and the revision of the store that it shows.
struct evacuation_state {
    store_revision version{};
    std::set<base::failure_domain> domains;

    friend bool operator==(const evacuation_state&, const evacuation_state&) = default;
};

/// The failure domains that operators have evacuated, built from lists, watches and the states of other
/// daemons. The last complete state stays in force while the store is away and while a list is read again.
/// Not thread-safe.
class evacuated_domains {
public:
    /// The last complete state; its version is unset until there is one.
    const evacuation_state& state() const { return state_; }

    /// Whether a list has to be read before the next watch.
    bool needs_list() const { return listing_.has_value(); }

    /// Cursor of the next page of that list; empty for the first one.
    std::string next_page_after() const { return listing_ ? listing_->next_after : std::string(); }

    /// Begins the list again, as the history was lost or the store came back from a copy.
    void restart_listing() { listing_.emplace(); }

    /// Applies a page of the list. Returns whether the state changed.
    bool apply(const object_names& page);

    /// Applies changes that continue the state. Returns whether the state changed.
    bool apply(const object_name_changes& changes);

    /// Records that nothing changed up to this revision.
    void advance_to(const store_revision& version);

    /// Takes over the state of another daemon if it is newer. Returns whether the domains changed.
    bool adopt(const evacuation_state& other);

private:
    struct listing {
        std::string next_after;
        /// Revision of the first page. Changes after it, which later pages may lack, are watched from there.
        store_revision version;
        std::set<base::failure_domain> domains;
    };

    bool replace(evacuation_state next);

    evacuation_state state_;
    std::optional<listing> listing_ = listing{};
};

} // namespace rattanbay::object_api
