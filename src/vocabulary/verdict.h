// The verdict says whether a request may have been executed by an upstream. Every error that
// anvilpost generates carries one.
#pragma once

#include "vocabulary/enum_names.h"

#include <array>

namespace anvilpost {

/// Ordered by how much may have happened. A verdict may only move towards `ran`; `weaken` enforces it.
enum class verdict { not_run, may_have_run, ran };

template <>
struct enum_names<verdict> {
    static constexpr std::array<std::pair<verdict, std::string_view>, 3> table{{
        {verdict::not_run, "not_run"},
        {verdict::may_have_run, "may_have_run"},
        {verdict::ran, "ran"},
    }};
};

/// Combines what two attempts of one request say. The result is never closer to `not_run` than either.
constexpr verdict weaken(verdict a, verdict b)
{
    return std::max(a, b);
}

} // namespace anvilpost
