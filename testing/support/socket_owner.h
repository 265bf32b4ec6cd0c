// Tells which process a loopback connection belongs to, so that a proxy can treat the connections of one node
// differently although all nodes connect from the same address.
#pragma once

#include <cstdint>
#include <sys/types.h>
#include <vector>

namespace anvilpost::testing {

/// True when one of the processes has a TCP socket open whose local port is `port`.
bool owns_tcp_port(const std::vector<pid_t>& processes, std::uint16_t port);

} // namespace anvilpost::testing
