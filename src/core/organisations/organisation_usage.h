// What operators see of an organisation with a limit.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvilpost {

struct organisation_usage {
    double rate_per_second_ = 0;
    double burst_ = 0;
    std::optional<int> used_;    ///< Of all nodes in the last window, as far as this node knows.
    std::uint64_t admitted_ = 0; ///< By this node since it started.
    std::uint64_t refused_ = 0;  ///< Likewise.
};

using organisation_usages = std::map<std::string, organisation_usage>; ///< By name.

} // namespace anvilpost
