// Computes the 128-bit variant of the stable hash as hexadecimal text.
#include "vocabulary/stable_hash.h"

#include <cstdio>

namespace anvilpost {

std::string stable_hash_hex(std::string_view text)
{
    constexpr std::uint64_t second_seed = 0x9e3779b97f4a7c15ULL;
    char buffer[33];
    std::snprintf(buffer, sizeof buffer, "%016llx%016llx", static_cast<unsigned long long>(stable_hash(text)),
                  static_cast<unsigned long long>(stable_hash(text, second_seed)));
    return buffer;
}

} // namespace anvilpost
