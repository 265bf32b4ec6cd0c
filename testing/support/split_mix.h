// A seeded pseudo-random generator that makes tests and scenarios reproducible.
#pragma once

#include "ports/random_port.h"

namespace anvilpost::testing {

/// SplitMix64: only 64 bits of state and well distributed output.
class split_mix : public random_port {
public:
    explicit split_mix(std::uint64_t seed = 1) : state_(seed) {}

    std::uint64_t next() override
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

private:
    std::uint64_t state_;
};

} // namespace anvilpost::testing
