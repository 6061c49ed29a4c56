#pragma once

#include <rattanbay/base.hpp>
#include <rattanbay/object_api.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::ledger::test {

/// The platform's objects in memory, with versions that increase across all objects.
class fake_platform {
public:
    /// Lets a call take effect. With `old_copy` a read gives an earlier version of the object;
    /// conditions are always checked against the real one.
    object_api::answer apply(const object_api::call& call, std::optional<std::uint64_t> old_copy) {
        if (const auto* write = std::get_if<object_api::write_object>(&call)) {
            return apply_write(*write);
        }
        if (const auto* removal = std::get_if<object_api::delete_object>(&call)) {
            return apply_delete(*removal);
        }
        return apply_read(std::get<object_api::read_object>(call), old_copy);
    }

    /// The present value of an object, or null.
    const object_api::object* find(const object_api::object_key& key) const {
        const auto it = objects_.find(key);
        return it == objects_.end() ? nullptr : &it->second.back();
    }

    std::uint64_t writes() const { return writes_; }

    std::uint64_t written_bytes() const { return written_bytes_; }

    std::size_t largest_value() const { return largest_value_; }

    std::uint64_t seals() const { return seals_; }

    std::uint64_t segments() const { return segments_; }

    std::uint64_t deletions() const { return deletions_; }

    std::size_t count(const std::string& kind) const {
        std::size_t found = 0;
        for (const auto& [key, versions] : objects_) {
            found += key.kind == kind ? 1 : 0;
        }
        return found;
    }

private:
    object_api::answer apply_write(const object_api::write_object& write) {
        const auto it = objects_.find(write.key);
        if (it == objects_.end()) {
            if (write.expected_version) {
                return object_api::not_found{};
            }
        } else if (write.expected_version != it->second.back().version) {
            return object_api::conflict{it->second.back().version};
        }
        std::vector<object_api::object>& versions = objects_[write.key];
        versions.push_back({++version_, write.value});
        constexpr std::size_t kept_versions = 4;
        if (versions.size() > kept_versions) {
            versions.erase(versions.begin());
        }
        ++writes_;
        seals_ += write.value.find(R"("sealed":true)") != std::string::npos ? 1 : 0;
        segments_ += write.key.kind == "ledger_segments" ? 1 : 0;
        written_bytes_ += write.value.size();
        largest_value_ = std::max(largest_value_, write.value.size());
        return object_api::written{version_};
    }

    object_api::answer apply_delete(const object_api::delete_object& removal) {
        const auto it = objects_.find(removal.key);
        if (it == objects_.end()) {
            return object_api::not_found{};
        }
        if (it->second.back().version != removal.expected_version) {
            return object_api::conflict{it->second.back().version};
        }
        objects_.erase(it);
        ++deletions_;
        return object_api::deleted{};
    }

    object_api::answer apply_read(const object_api::read_object& read,
                                  std::optional<std::uint64_t> old_copy) const {
        const auto it = objects_.find(read.key);
        if (it == objects_.end()) {
            return object_api::not_found{};
        }
        if (!old_copy) {
            return it->second.back();
        }
        // The state before the object existed is also an old copy.
        const std::uint64_t chosen = *old_copy % (it->second.size() + 1);
        if (chosen == it->second.size()) {
            return object_api::not_found{};
        }
        return it->second[chosen];
    }

    std::map<object_api::object_key, std::vector<object_api::object>> objects_;
    std::uint64_t version_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t seals_ = 0;
    std::uint64_t segments_ = 0;
    std::uint64_t deletions_ = 0;
    std::uint64_t written_bytes_ = 0;
    std::size_t largest_value_ = 0;
};

} // namespace rattanbay::ledger::test
