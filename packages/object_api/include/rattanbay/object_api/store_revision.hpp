#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace rattanbay::object_api {

/// Position in the history of the platform's store. The store counts its changes. When it comes back from a
/// copy, the count goes back to that of the copy and a new era begins, so numbers of different eras are
/// unrelated and every position of a later era is newer.
class store_revision {
public:
    /// The position before all changes.
    constexpr store_revision() = default;

    /// `era` is 0 on platforms that never come back from a copy.
    constexpr store_revision(std::uint64_t era, std::uint64_t number)
        : era_(era)
        , number_(number) {}

    constexpr std::uint64_t era() const { return era_; }

    constexpr std::uint64_t number() const { return number_; }

    /// Whether this is the position before all changes, from which a watch is answered immediately.
    constexpr bool is_unset() const { return number_ == 0; }

    /// Text for log lines: the number, preceded by the era and a colon unless the era is 0.
    std::string text() const {
        return era_ == 0 ? std::to_string(number_) : std::to_string(era_) + ":" + std::to_string(number_);
    }

    friend constexpr bool operator==(const store_revision&, const store_revision&) = default;
    friend constexpr auto operator<=>(const store_revision&, const store_revision&) = default;

private:
    std::uint64_t era_ = 0;
    std::uint64_t number_ = 0;
};

} // namespace rattanbay::object_api
