// A node's share of the fleet-wide allowance for extra attempts (retries and hedges): a part of the calls
// of a sliding window plus a fixed slack. The shares of any set of nodes sum to at most the allowance,
// because each node spends only what its own calls earn and its part of the slack.
#pragma once

#include "vocabulary/core_clock.h"

#include <array>
#include <cstdint>

namespace anvilpost {

struct allowance_terms {
    double ratio_ = 0.1; ///< Extra attempts as a part of the calls, in [0, 1].
    double slack_ = 1.0; ///< Extra attempts in a window whatever the calls; this node's part of it.
    duration window_ = std::chrono::seconds(10);

    bool operator==(const allowance_terms&) const = default;
};

/// Invariant: in any span of `window_`, the attempts taken are at most ratio times the calls of a span
/// that is longer by one bucket at the most, plus the slack.
class attempt_allowance {
public:
    void configure(const allowance_terms& terms) { terms_ = terms; }

    /// Counts a call, which earns its part of an extra attempt.
    void credit(time_point now) { ++bucket(now).calls_; }

    /// Takes one extra attempt. `kept_part` of what the window has earned is left for more urgent uses.
    /// Returns false, taking nothing, when the rest is used up.
    bool take(time_point now, double kept_part = 0);

    /// Extra attempts left now.
    [[nodiscard]] double left(time_point now) const { return earned(now) - spent(now); }
    [[nodiscard]] const allowance_terms& terms() const { return terms_; }

private:
    static constexpr std::size_t buckets = 20;

    struct counts {
        std::int64_t period_ = -1; ///< Number of the span of time that the bucket covers.
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
    std::array<counts, buckets + 1> counts_{}; ///< One more than the window, since the first is partial.
};

} // namespace anvilpost
