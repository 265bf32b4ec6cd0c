// Limits extra attempts (retries and hedged requests) by a retry budget: a share of the calls in a sliding
// window plus a fixed slack. Each node spends only what its own calls earn and its part of the slack, so
// the budgets of any set of nodes sum to at most the fleet-wide budget.
#pragma once

#include "vocabulary/core_clock.h"

#include <array>
#include <cstdint>

namespace anvilpost {

struct retry_budget_settings {
    double ratio_ = 0.1; ///< Extra attempts per call, in [0, 1].
    double slack_ = 1.0; ///< This node's part of the extra attempts allowed in a window without calls.
    duration window_ = std::chrono::seconds(10); ///< Length of the sliding window.

    bool operator==(const retry_budget_settings&) const = default;
};

/// Budget for extra attempts over a sliding window.
/// Invariant: in any span of `window_`, at most ratio * calls + slack attempts are taken, where the calls
/// are those of a span that is longer by one bucket at most.
class retry_budget {
public:
    void configure(const retry_budget_settings& settings) { settings_ = settings; }

    /// Counts a call, which adds `ratio_` of an extra attempt to the budget.
    void add_call(time_point now) { ++bucket(now).calls_; }

    /// Takes one extra attempt from the budget. `reserved_share`, in [0, 1], is the share of the window's
    /// budget that stays reserved for more urgent uses. Returns false, taking nothing, when the rest is used
    /// up.
    bool take(time_point now, double reserved_share = 0);

    /// Returns how many extra attempts are left. May be negative, since an attempt counts for one bucket
    /// longer than the calls that paid for it.
    [[nodiscard]] double left(time_point now) const { return earned(now) - spent(now); }
    [[nodiscard]] const retry_budget_settings& settings() const { return settings_; }

private:
    static constexpr std::size_t bucket_count = 20;

    struct period_counts {
        std::int64_t period_ = -1; ///< Index of the time span that the bucket covers; -1: unused.
        std::uint32_t calls_ = 0;
        std::uint32_t extra_attempts_ = 0;
    };

    [[nodiscard]] std::int64_t period_of(time_point now) const
    {
        return now.time_since_epoch() / (settings_.window_ / static_cast<int>(bucket_count));
    }
    period_counts& bucket(time_point now);
    [[nodiscard]] double earned(time_point now) const;
    [[nodiscard]] double spent(time_point now) const;

    retry_budget_settings settings_;
    std::array<period_counts, bucket_count + 1> buckets_{}; ///< One more, as the oldest is partly outside.
};

} // namespace anvilpost
