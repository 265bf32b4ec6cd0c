// Reserves free slots for calls that can still meet their latency objective. Near and above capacity, a free
// slot would otherwise always go to a call that is late already: waiting calls are spread over many nodes,
// and the node that sees a free slot first may have only late ones.
#pragma once

#include <algorithm>

namespace anvilpost {

/// Occupancy of the useful slots (see `contention_estimator::useful_slots`), added up over those upstreams of
/// a service that run at usual speed. Invariant: `used_slots_ <= total_slots_`.
class slot_reserve {
public:
    /// Share of the useful slots that late calls must leave free.
    static constexpr double reserved_share = 0.2;

    /// Upstreams at or above this slowdown are not counted, since a call that can still be in time would not
    /// take a slot there.
    static constexpr double max_usual_slowdown_factor = 2.0;

    /// Adds an upstream. Calls beyond its useful slots do not count against the slots of others.
    void add(int useful_slots, double occupancy)
    {
        total_slots_ += useful_slots;
        used_slots_ += std::min<double>(useful_slots, occupancy);
    }

    /// Returns the share of the counted slots that is free; 0 when no upstream was added.
    [[nodiscard]] double free_share() const { return total_slots_ > 0 ? 1 - used_slots_ / total_slots_ : 0; }

    /// Returns whether a call that will miss its objective may take a free slot.
    [[nodiscard]] bool open_to_late_calls() const { return free_share() >= reserved_share; }

private:
    double total_slots_ = 0;
    double used_slots_ = 0;
};

} // namespace anvilpost
