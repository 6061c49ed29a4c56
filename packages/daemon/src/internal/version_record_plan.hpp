#pragma once

#include "recorded_version.hpp"

#include <rattanbay/object_api/answer.hpp>
#include <rattanbay/object_api/call.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::daemon::internal {

/// Kind of the platform's objects whose names tell the software versions of services.
constexpr std::string_view version_kind = "endpoint-versions";

/// Decides which platform call brings the recorded software versions closer to those that are to be recorded:
/// all active versions.
class version_record_plan {
public:
    using version_sets = std::map<base::service_name, std::set<std::string>>;

    /// Number of versions that are recorded at most. If more are active, each service gets one of its
    /// versions first and then a second one, which suffices to tell that it has more than one.
    static constexpr std::size_t max_objects = 64;

    /// Takes over the list of all objects. Returns the versions that another daemon has recorded since the
    /// list before, or all of them the first time. Names that tell no version are left out.
    std::vector<recorded_version> set_listed(const std::vector<object_api::object_list::row>& rows);

    /// Has the objects listed again before the next write.
    void require_list() { needs_list_ = true; }

    /// Forgets the objects, as the store came back from a copy and may give out their revisions again.
    void forget();

    bool needs_list() const { return needs_list_; }

    bool empty() const { return objects_.empty(); }

    /// Returns the next write or deletion; nothing if the record is up to date or has to be listed first.
    std::optional<object_api::call> next(const version_sets& active) const;

    /// Takes over the answer to a write or a deletion.
    void record(const object_api::write_object& request, const object_api::answer& answer);
    void record(const object_api::delete_object& request, const object_api::answer& answer);

    /// The versions to be recorded.
    static std::set<recorded_version> wanted(const version_sets& active);

private:
    /// Objects in the store and their revisions, as far as this daemon knows.
    std::map<recorded_version, std::uint64_t> objects_;
    bool needs_list_ = true;
};

} // namespace rattanbay::daemon::internal
