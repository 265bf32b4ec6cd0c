// Learns whether the upstreams of a service slow down when nearly full, so that calls prefer less full ones.
// It answers loads below capacity; near capacity every slot is used (docs/design/placing.md).
#pragma once

#include <algorithm>

namespace anvilpost {

/// Invariant: `factor()` is what an upstream of usual speed takes for a call when nearly full, as a multiple
/// of what it takes otherwise; at least 1.
class crowding {
public:
    /// An upstream counts as nearly full above this part of its slots.
    static constexpr double nearly_full_part = 0.8;

    /// Where a call is a large part of an upstream's slots, upstreams are taken to slow down until they have
    /// shown that they don't; elsewhere, not before they have.
    static constexpr int few_slots = 4;
    static constexpr double assumed_with_few_slots = 2.0;

    /// The factor moves by this towards each sample, and so to the median: a sample is many times too high
    /// when the upstream turned slow unseen.
    static constexpr double step = 0.02;
    static constexpr double highest_factor = 5.0;

    /// Calls that an upstream runs without being nearly full.
    [[nodiscard]] static int comfortable(int slots)
    {
        return std::max(1, static_cast<int>(nearly_full_part * slots));
    }

    /// A call that began with `running` calls there, itself included, took `ratio` times its usual work.
    void learn(int running, int slots, double ratio)
    {
        if (running > comfortable(slots) && running <= slots) {
            const double known = factor(slots);
            factor_ = std::clamp(known + (ratio > known ? step : -step), 1.0, highest_factor);
        }
    }

    /// Calls up to which an upstream gets more done by running one more.
    [[nodiscard]] int useful(int slots) const
    {
        const bool all_of_use = factor(slots) * comfortable(slots) < slots;
        return all_of_use ? slots : comfortable(slots);
    }

    [[nodiscard]] double factor(int slots) const
    {
        if (factor_ > 0) {
            return factor_;
        }
        return slots <= few_slots ? assumed_with_few_slots : 1.0;
    }

private:
    double factor_ = 0; ///< 0 until learnt.
};

} // namespace anvilpost
