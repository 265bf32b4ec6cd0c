// Port through which nodes exchange datagrams. Datagrams may be lost, doubled and reordered.
#pragma once

#include <cstdint>
#include <string>

namespace anvilpost {

class datagram_port {
public:
    virtual ~datagram_port() = default;

    /// Sends without waiting. A datagram that the system does not take at once is dropped.
    virtual void send(const std::string& ip, std::uint16_t port, const std::string& bytes) = 0;
};

} // namespace anvilpost
