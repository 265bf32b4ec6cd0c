// The verdict states whether an upstream may have executed a request, so that the caller knows whether a
// resend is safe. Every error that anvilpost generates carries one.
#pragma once

#include "vocabulary/enum_names.h"

#include <array>

namespace anvilpost {

/// Ordered by how much may have happened. A request's verdict only ever moves towards `ran`;
/// `combine_verdicts` enforces that.
enum class verdict { not_run, may_have_run, ran };

template <>
struct enum_names<verdict> {
    static constexpr std::array<std::pair<verdict, std::string_view>, 3> table{{
        {verdict::not_run, "not_run"},
        {verdict::may_have_run, "may_have_run"},
        {verdict::ran, "ran"},
    }};
};

/// Combines the verdicts of two attempts of one request. The result is never closer to `not_run` than either
/// of them.
constexpr verdict combine_verdicts(verdict a, verdict b)
{
    return std::max(a, b);
}

} // namespace anvilpost
