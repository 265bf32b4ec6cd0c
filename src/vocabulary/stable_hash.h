// A hash whose value is the same on every node and in every build: 64-bit FNV-1a, and a 128-bit variant made
// of two differently seeded halves. It distributes keys evenly but is not cryptographic: an attacker can
// construct collisions.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilpost {

inline constexpr std::uint64_t fnv_offset_basis = 14'695'981'039'346'656'037ULL;
inline constexpr std::uint64_t fnv_prime = 1'099'511'628'211ULL;

/// Returns the FNV-1a hash of `text` after a final mixing step, so that short keys differ in all bits.
constexpr std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = fnv_offset_basis)
{
    std::uint64_t hash = seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnv_prime;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33U;
    return hash;
}

/// Returns the 128-bit variant as 32 lower-case hexadecimal digits.
std::string stable_hash_hex(std::string_view text);

} // namespace anvilpost
