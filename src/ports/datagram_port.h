// Port through which a node sends datagrams to other nodes. Datagrams may be lost, duplicated and reordered.
#pragma once

#include <cstdint>
#include <string>

namespace anvilpost {

class datagram_port {
public:
    virtual ~datagram_port() = default;

    /// Sends without blocking. A datagram that the operating system does not accept at once is dropped.
    virtual void send(const std::string& ip, std::uint16_t port, const std::string& bytes) = 0;
};

} // namespace anvilpost
