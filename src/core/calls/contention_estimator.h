// Estimates how much the upstreams of a service slow down when nearly all of their slots are in use, so that
// calls prefer less loaded upstreams. This matters below capacity; near capacity every slot is used anyway
// (docs/design/placing.md).
#pragma once

#include <algorithm>

namespace anvilpost {

/// Online estimate of the slowdown under contention within an upstream.
/// Invariant: `factor()` is the time that a nearly full upstream of usual speed takes for a call, as a
/// multiple of the time that it takes otherwise; it lies between 1 and `max_factor`.
class contention_estimator {
public:
    /// An upstream counts as nearly full when more than this share of its slots is in use.
    static constexpr double nearly_full_share = 0.8;

    /// With at most this many slots, one call is a large share of an upstream's capacity, so a slowdown is
    /// assumed until samples show otherwise. With more slots, none is assumed before samples show it.
    static constexpr int small_upstream_slots = 4;
    static constexpr double assumed_factor_of_small_upstreams = 2.0;

    /// The factor moves by this fixed step towards each sample, so it tracks the median. A mean would be
    /// distorted, since a sample is many times too high when the upstream turned slow unnoticed.
    static constexpr double factor_step = 0.02;
    static constexpr double max_factor = 5.0;

    /// Returns how many calls an upstream can run without being nearly full; at least 1.
    [[nodiscard]] static int max_uncontended_calls(int slots)
    {
        return std::max(1, static_cast<int>(nearly_full_share * slots));
    }

    /// Adds a sample: a call took `ratio` times its usual time at an upstream that had `running` calls when
    /// it began, itself included. Samples from upstreams that were not nearly full are ignored.
    void add_sample(int running, int slots, double ratio)
    {
        if (running > max_uncontended_calls(slots) && running <= slots) {
            const double current = factor(slots);
            factor_ = std::clamp(current + (ratio > current ? factor_step : -factor_step), 1.0, max_factor);
        }
    }

    /// Returns the number of concurrent calls up to which an upstream's throughput grows.
    [[nodiscard]] int useful_slots(int slots) const
    {
        const bool all_slots_useful = factor(slots) * max_uncontended_calls(slots) < slots;
        return all_slots_useful ? slots : max_uncontended_calls(slots);
    }

    /// Returns the learnt factor, or the assumed one before the first sample.
    [[nodiscard]] double factor(int slots) const
    {
        if (factor_ > 0) {
            return factor_;
        }
        return slots <= small_upstream_slots ? assumed_factor_of_small_upstreams : 1.0;
    }

private:
    double factor_ = 0; ///< 0 until the first sample.
};

} // namespace anvilpost
