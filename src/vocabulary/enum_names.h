// Conversion between `enum class` values and their names. A type opts in by specialising `enum_names` with an
// array of (value, name) pairs; printing and parsing both use that table.
#pragma once

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace anvilpost {

/// Table of names of E. A specialisation has a static constexpr array `table` of
/// std::pair<E, std::string_view>.
template <class E>
struct enum_names;

/// Returns the name of `value`, or "unknown" for a value outside the table.
template <class E>
constexpr std::string_view name_of(E value)
{
    for (const auto& [entry, name] : enum_names<E>::table) {
        if (entry == value) {
            return name;
        }
    }
    return "unknown";
}

/// Returns the value whose name is `name`, or nothing when the table has no such name.
template <class E>
constexpr std::optional<E> enum_from_name(std::string_view name)
{
    for (const auto& [entry, entry_name] : enum_names<E>::table) {
        if (entry_name == name) {
            return entry;
        }
    }
    return std::nullopt;
}

} // namespace anvilpost
