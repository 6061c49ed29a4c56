#include "internal/version_record_plan.hpp"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace rattanbay::daemon::internal {

namespace {

using version_sets = version_record_plan::version_sets;

/// Adds the versions of all services, from number `first` to before number `last` of each,
/// until the record is full.
void add_versions(const version_sets& active, std::size_t first, std::size_t last,
                  std::set<recorded_version>& out) {
    for (const auto& row : active) {
        std::size_t number = 0;
        for (const std::string& version : row.second) {
            if (number >= first && number < last && out.size() < version_record_plan::max_objects) {
                out.insert({row.first, version});
            }
            ++number;
        }
    }
}

object_api::object_key key_of(const recorded_version& row) {
    return {std::string(version_kind), row.object_name()};
}

object_api::write_object creation_of(const recorded_version& row) {
    // Names are arbitrary bytes to this program; the value is for operators, the object's name tells both.
    const nlohmann::json value{{"service", row.service.text()}, {"version", row.version}};
    return {key_of(row), std::nullopt, value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace

std::set<recorded_version> version_record_plan::wanted(const version_sets& active) {
    std::set<recorded_version> out;
    add_versions(active, 0, 1, out);
    add_versions(active, 1, 2, out);
    add_versions(active, 2, max_objects, out);
    return out;
}

std::vector<recorded_version>
version_record_plan::set_listed(const std::vector<object_api::object_list::row>& rows) {
    std::vector<recorded_version> out;
    std::map<recorded_version, std::uint64_t> listed;
    for (const object_api::object_list::row& row : rows) {
        const std::optional<recorded_version> version = recorded_version::parse(row.name);
        if (!version) {
            continue;
        }
        listed[*version] = row.version;
        const auto known = objects_.find(*version);
        if (known == objects_.end() || known->second != row.version) {
            out.push_back(*version);
        }
    }
    objects_ = std::move(listed);
    needs_list_ = false;
    return out;
}

void version_record_plan::forget() {
    objects_.clear();
    needs_list_ = true;
}

std::optional<object_api::call> version_record_plan::next(const version_sets& active) const {
    if (needs_list_) {
        return std::nullopt;
    }
    const std::set<recorded_version> wanted_rows = wanted(active);
    // A version that is missing may be forgotten by all daemons, one too many is only kept too long.
    if (objects_.size() < max_objects) {
        for (const recorded_version& row : wanted_rows) {
            if (!objects_.contains(row)) {
                return object_api::call(creation_of(row));
            }
        }
    }
    for (const auto& row : objects_) {
        if (!wanted_rows.contains(row.first)) {
            return object_api::call(object_api::delete_object{key_of(row.first), row.second});
        }
    }
    return std::nullopt;
}

void version_record_plan::record(const object_api::write_object& request, const object_api::answer& answer) {
    const std::optional<recorded_version> row = recorded_version::parse(request.key.name);
    const object_api::written* const written = std::get_if<object_api::written>(&answer);
    const object_api::conflict* const conflict = std::get_if<object_api::conflict>(&answer);
    if (!row || (written == nullptr && conflict == nullptr)) {
        needs_list_ = true;
        return;
    }
    objects_[*row] = written != nullptr ? written->version : conflict->version;
}

void version_record_plan::record(const object_api::delete_object& request, const object_api::answer& answer) {
    const std::optional<recorded_version> row = recorded_version::parse(request.key.name);
    if (!row || !std::holds_alternative<object_api::deleted>(answer)) {
        needs_list_ = true;
        return;
    }
    objects_.erase(*row);
}

} // namespace rattanbay::daemon::internal
