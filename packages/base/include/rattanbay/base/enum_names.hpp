#pragma once

#include <array>
#include <cassert>
#include <optional>
#include <string_view>

namespace rattanbay::base {

/// Name of one enumeration value.
template <class Enum> struct enum_name {
    Enum value;
    std::string_view name;
};

/// Names of the values of `Enum`. Each enumeration with names specialises it with a static constexpr
/// member `table` of type `std::array<enum_name<Enum>, N>` that has one element per value.
template <class Enum> struct enum_names;

/// Name of `value`, which must be in the table.
template <class Enum> constexpr std::string_view to_name(Enum value) {
    for (const enum_name<Enum>& row : enum_names<Enum>::table) {
        if (row.value == value) {
            return row.name;
        }
    }
    assert(false && "the enumeration value has no name");
    return {};
}

/// Value with this name, or empty if there is none.
template <class Enum> constexpr std::optional<Enum> from_name(std::string_view name) {
    for (const enum_name<Enum>& row : enum_names<Enum>::table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace rattanbay::base
