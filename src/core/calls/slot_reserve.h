// Keeps free slots for calls that can still meet their latency objective. It answers loads near and above
// capacity, where a free slot would otherwise always go to a call that is late already: calls that wait are
// spread over many nodes, and the node that sees a slot first may have none but late ones.
#pragma once

#include <algorithm>

namespace anvilpost {

/// Counts the useful slots (see `crowding`) of a service's upstreams that run at usual speed.
class slot_reserve {
public:
    /// Part of the useful slots that late calls leave free.
    static constexpr double kept_part = 0.2;

    /// Upstreams slower than this hold no slot that a call in time would take.
    static constexpr double usual_slowdown = 2.0;

    void add(int useful_slots, double occupied)
    {
        all_ += useful_slots;
        used_ += std::min<double>(useful_slots, occupied);
    }

    [[nodiscard]] double free_part() const { return all_ > 0 ? 1 - used_ / all_ : 0; }
    [[nodiscard]] bool open_to_late_calls() const { return free_part() >= kept_part; }

private:
    double all_ = 0;
    double used_ = 0;
};

} // namespace anvilpost
