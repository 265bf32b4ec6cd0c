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

    static constexpr double learning_weight = 0.05;
    static constexpr double highest_sample = 5.0;

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
            factor_ = known + (std::clamp(ratio, 1.0, highest_sample) - known) * learning_weight;
        }
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
