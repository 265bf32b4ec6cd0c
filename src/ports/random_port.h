// Port through which the core obtains random numbers; tests substitute a seeded generator.
#pragma once

#include <cstddef>
#include <cstdint>

namespace anvilpost {

class random_port {
public:
    virtual ~random_port() = default;

    /// Returns 64 uniformly distributed bits.
    virtual std::uint64_t next() = 0;
};

/// Returns a random integer in [0, bound). `bound` must not be 0.
inline std::size_t random_below(random_port& source, std::size_t bound)
{
    return static_cast<std::size_t>(source.next() % bound);
}

/// Returns a random number in [0, 1) from 53 random bits, the precision of a double.
inline double random_unit(random_port& source)
{
    constexpr double two_to_53 = 9'007'199'254'740'992.0;
    return static_cast<double>(source.next() >> 11U) / two_to_53;
}

} // namespace anvilpost
