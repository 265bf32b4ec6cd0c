// Counts over a recent time, in slots, so that they cost a few words however many events there are: how many
// events a window has had, and the largest value that was seen in it.
#pragma once

#include "vocabulary/core_clock.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace anvilpost {

/// `Slots` values of equal stretches of time, the oldest of which is cleared as time passes.
template <std::size_t Slots>
class time_slots {
public:
    explicit time_slots(duration window) : slot_length_(window / static_cast<int>(Slots)) {}

    /// Returns the value of the present stretch.
    int& at(time_point now)
    {
        const auto slot = now.time_since_epoch() / slot_length_;
        const auto passed = std::min<std::int64_t>(slot - latest_, Slots);
        for (std::int64_t i = 0; i < passed; ++i) {
            values_[static_cast<std::size_t>((slot - i) % static_cast<std::int64_t>(Slots))] = 0;
        }
        latest_ = std::max<std::int64_t>(latest_, slot);
        return values_[static_cast<std::size_t>(latest_ % static_cast<std::int64_t>(Slots))];
    }

    [[nodiscard]] int sum(time_point now)
    {
        at(now);
        int total = 0;
        for (const int value : values_) {
            total += value;
        }
        return total;
    }

    [[nodiscard]] int largest(time_point now)
    {
        at(now);
        return *std::max_element(values_.begin(), values_.end());
    }

private:
    duration slot_length_;
    std::int64_t latest_ = 0;
    std::array<int, Slots> values_{};
};

/// Number of nodes by which the shares of a quota are divided: the largest number known at once in the last
/// ten minutes, so that the parts of a fleet that lost touch with each other do not divide a quota among
/// themselves only. A node that has just started knows few others; it learns the number from their messages.
class fleet_size {
public:
    static constexpr duration memory = std::chrono::minutes(10);

    void observe(int nodes, time_point now) { raise(observed_, nodes, now); }

    /// Another node observed this number. What was heard is not passed on, so that it is forgotten in time.
    void hear(int nodes, time_point now) { raise(heard_, nodes, now); }

    [[nodiscard]] int observed(time_point now) { return std::max(1, observed_.largest(now)); }
    [[nodiscard]] int nodes(time_point now) { return std::max(observed(now), heard_.largest(now)); }

private:
    static constexpr std::size_t slots = 10;

    static void raise(time_slots<slots>& seen, int nodes, time_point now)
    {
        auto& value = seen.at(now);
        value = std::max(value, nodes);
    }

    time_slots<slots> observed_{memory};
    time_slots<slots> heard_{memory};
};

} // namespace anvilpost
