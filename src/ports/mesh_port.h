// Port through which the mesh agent opens connections to other nodes and sends messages over them.
#pragma once

#include <cstdint>
#include <string>

namespace anvilpost {

/// Identifies a connection to another node. A value is never reused within a process.
enum class link_id : std::uint64_t {};

/// The implementation reports events through the `on_*` functions of mesh_agent, never from inside one of
/// the functions below.
class mesh_port {
public:
    virtual ~mesh_port() = default;

    /// Starts to connect and returns the link's identifier at once, before the connection is established.
    virtual link_id connect(const std::string& ip, std::uint16_t port) = 0;
    virtual void send(link_id link, const std::string& bytes) = 0;
    virtual void close(link_id link) = 0;
};

} // namespace anvilpost
