// Limits extra attempts (retries and hedged requests) by a retry budget: a share of the calls in a sliding
// window plus a fixed slack. Each node spends only what its own calls earn and its part of the slack, so
// the budgets of any set of nodes sum to at most the fleet-wide budget.
#pragma once

#include "vocabulary/core_clock.h"

#include <array>
#include <cstdint>

namespace anvilpost {

struct allowance_terms {
    double ratio_ = 0.1; ///< Extra attempts per call, in [0, 1].
    double slack_ = 1.0; ///< This node's part of the extra attempts allowed in a window without calls.
    duration window_ = std::chrono::seconds(10); ///< Length of the sliding window.

    bool operator==(const allowance_terms&) const = default;
};

/// Budget for extra attempts over a sliding window.
/// Invariant: in any span of `window_`, at most ratio * calls + slack attempts are taken, where the calls
/// are those of a span that is longer by one bucket at most.
class attempt_allowance {
public:
    void configure(const allowance_terms& terms) { terms_ = terms; }

    /// Counts a call, which adds `ratio_` of an extra attempt to the budget.
    void credit(time_point now) { ++bucket(now).calls_; }

    /// Takes one extra attempt from the budget. `kept_part`, in [0, 1], is the share of the window's budget
    /// that stays reserved for more urgent uses. Returns false, taking nothing, when the rest is used up.
    bool take(time_point now, double kept_part = 0);

    /// Returns how many extra attempts are left. May be negative, since an attempt counts for one bucket
    /// longer than the calls that paid for it.
    [[nodiscard]] double left(time_point now) const { return earned(now) - spent(now); }
    [[nodiscard]] const allowance_terms& terms() const { return terms_; }

private:
    static constexpr std::size_t buckets = 20;

    struct counts {
        std::int64_t period_ = -1; ///< Index of the time span that the bucket covers; -1: unused.
        std::uint32_t calls_ = 0;
        std::uint32_t extra_ = 0;
    };

    [[nodiscard]] std::int64_t period_of(time_point now) const
    {
        return now.time_since_epoch() / (terms_.window_ / static_cast<int>(buckets));
    }
    counts& bucket(time_point now);
    [[nodiscard]] double earned(time_point now) const;
    [[nodiscard]] double spent(time_point now) const;

    allowance_terms terms_;
    std::array<counts, buckets + 1> counts_{}; ///< One more, since the oldest is only partly in the window.
};

} // namespace anvilpost
