// Claims ranges of loopback ports and networks for one process, so that test processes that run side by side,
// also those of other clones of the project, never share addresses.
#pragma once

#include <cstdint>

namespace anvilpost::testing {

/// Range of 100 ports on 127.0.0.1 below the operating system's ephemeral ports.
inline constexpr std::uint16_t ports_per_range = 100;

/// Returns the first port of a range that no other process has claimed; the range is this process's until it
/// ends. The last port of a range belongs to the claim and must not be used. Throws std::runtime_error when
/// all ranges are claimed.
std::uint16_t claim_port_range();

/// Returns a number from `first` to `last` whose network 127.NUMBER.0.0/16 no other process has claimed; it
/// is this process's until it ends. Throws std::runtime_error when all are claimed.
int claim_loopback_network(int first, int last);

} // namespace anvilpost::testing
