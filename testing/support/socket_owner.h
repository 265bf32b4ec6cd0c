// Tells which process a loopback connection belongs to, so that a proxy can treat the connections of one node
// differently although all nodes connect from the same address.
#pragma once

#include <sys/types.h>
#include <vector>

namespace anvilpost::testing {

/// True when the other end of the accepted TCP connection `accepted` is a socket of one of the processes.
bool is_connected_to(int accepted, const std::vector<pid_t>& processes);

} // namespace anvilpost::testing
