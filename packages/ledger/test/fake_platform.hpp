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

/// In-memory object store of the platform. Versions increase across all objects.
class fake_platform {
public:
    /// Applies a call. With `stale_read_seed`, a read returns one of the latest versions, selected by the
    /// seed, or `absent`. Conditions are always checked against the current version.
    object_api::answer apply(const object_api::call& call, std::optional<std::uint64_t> stale_read_seed) {
        if (const auto* write = std::get_if<object_api::write_object>(&call)) {
            return apply_write(*write);
        }
        if (const auto* deletion = std::get_if<object_api::delete_object>(&call)) {
            return apply_delete(*deletion);
        }
        return apply_read(std::get<object_api::read_object>(call), stale_read_seed);
    }

    /// Returns the current version of an object, or null if it does not exist.
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
        std::size_t result = 0;
        for (const auto& [key, versions] : objects_) {
            result += key.kind == kind ? 1 : 0;
        }
        return result;
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
        constexpr std::size_t max_versions = 4;
        if (versions.size() > max_versions) {
            versions.erase(versions.begin());
        }
        ++writes_;
        seals_ += write.value.find(R"("sealed":true)") != std::string::npos ? 1 : 0;
        segments_ += write.key.kind == "ledger_segments" ? 1 : 0;
        written_bytes_ += write.value.size();
        largest_value_ = std::max(largest_value_, write.value.size());
        return object_api::written{version_};
    }

    object_api::answer apply_delete(const object_api::delete_object& deletion) {
        const auto it = objects_.find(deletion.key);
        if (it == objects_.end()) {
            return object_api::not_found{};
        }
        if (it->second.back().version != deletion.expected_version) {
            return object_api::conflict{it->second.back().version};
        }
        objects_.erase(it);
        ++deletions_;
        return object_api::deleted{};
    }

    object_api::answer apply_read(const object_api::read_object& read,
                                  std::optional<std::uint64_t> stale_read_seed) const {
        const auto it = objects_.find(read.key);
        if (it == objects_.end()) {
            return object_api::not_found{};
        }
        if (!stale_read_seed) {
            return it->second.back();
        }
        // A stale read may also precede the creation of the object.
        const std::uint64_t index = *stale_read_seed % (it->second.size() + 1);
        if (index == it->second.size()) {
            return object_api::not_found{};
        }
        return it->second[index];
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
