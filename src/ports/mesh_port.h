// Port through which the mesh agent reaches other nodes.
#pragma once

#include <cstdint>
#include <string>

namespace anvilpost {

/// A connection to another node. Values are never used twice within a process.
enum class link_id : std::uint64_t {};

/// The implementation reports back through mesh_agent's `on_*` functions, never from inside a call.
class mesh_port {
public:
    virtual ~mesh_port() = default;

    /// Starts a connection and returns its link.
    virtual link_id connect(const std::string& ip, std::uint16_t port) = 0;
    virtual void send(link_id link, const std::string& bytes) = 0;
    virtual void close(link_id link) = 0;
};

} // namespace anvilpost
