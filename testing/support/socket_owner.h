// Tells which process a loopback connection belongs to, so that a proxy can treat the connections of one node
// differently although all nodes connect from the same address.
#pragma once

#include <cstdint>
#include <sys/types.h>

namespace anvilpost::testing {

/// True when the process has a TCP socket open whose local port is `port`.
bool owns_tcp_port(pid_t process, std::uint16_t port);

} // namespace anvilpost::testing
