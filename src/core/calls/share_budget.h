// A budget for extra work (retries, hedges) as a share of the calls served. It fills with each call and
// empties with each use, so that extra work cannot grow faster than the calls themselves.
#pragma once

#include <algorithm>

namespace anvilpost {

/// Invariant: 0 <= level_ <= capacity.
class share_budget {
public:
    static constexpr double capacity = 10.0;
    static constexpr double initial_level = 1.0;

    /// Credits one call; `share` is the part of calls that may cause extra work.
    void credit(double share) { level_ = std::min(capacity, level_ + share); }

    /// Takes one unit of extra work. Returns false, taking nothing, when less than one is left.
    bool take()
    {
        if (level_ < 1.0) {
            return false;
        }
        level_ -= 1.0;
        return true;
    }

    [[nodiscard]] double level() const { return level_; }

private:
    double level_ = initial_level;
};

} // namespace anvilpost
