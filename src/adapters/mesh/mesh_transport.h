// TCP transport of the mesh, the connections between the nodes: a listener and outgoing connections, each a
// libevent bufferevent that carries a WebSocket session.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/mesh/websocket_session.h"
#include "core/fleet/mesh_agent.h"
#include "ports/mesh_port.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <memory>
#include <string>

namespace anvilpost {

/// Returns the keyed hash (HMAC-SHA256, hexadecimal) by which a node proves that it knows the secret.
std::string hmac_sha256_hex(const std::string& secret, const std::string& nonce);

/// Returns whether `proof` is the result of `hmac_sha256_hex`, in a time that does not depend on where they
/// differ.
bool verify_hmac_sha256_hex(const std::string& secret, const std::string& nonce, const std::string& proof);

/// Reports connections and messages to a mesh_agent, always outside of the calls that caused them.
/// Invariant: each link in `links_` has one bufferevent, and one session as soon as it is connected.
class mesh_transport : public mesh_port {
public:
    explicit mesh_transport(event_loop& loop) : loop_(loop) {}
    mesh_transport(const mesh_transport&) = delete;
    mesh_transport& operator=(const mesh_transport&) = delete;
    ~mesh_transport() override;

    /// Must be called before any other function; the agent must outlive the transport's last event.
    void attach(mesh_agent& agent) { agent_ = &agent; }

    /// Throws std::runtime_error when the address cannot be bound.
    void listen(const std::string& ip, std::uint16_t port);

    link_id connect(const std::string& ip, std::uint16_t port) override;
    void send(link_id id, const std::string& bytes) override;
    void close(link_id id) override;

    /// Bytes on the wire, including WebSocket framing, without TCP and IP headers.
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }
    [[nodiscard]] std::uint64_t bytes_received() const { return bytes_received_; }

private:
    struct link {
        mesh_transport& owner_;
        link_id id_{};
        bufferevent* stream_ = nullptr;
        std::unique_ptr<websocket_session> session_;
        std::string host_;     ///< "ip:port" of an outgoing connection; empty if the peer connected.
        bool closing_ = false; ///< Waits to be destroyed; neither reads nor sends any more.
    };

    link& add_link(bufferevent* stream, std::string host);
    websocket_callbacks make_callbacks(link& peer_link);
    void on_accept(int fd);
    void on_readable(link& peer_link);
    void on_event(link& peer_link, short events);
    void schedule_close(link& peer_link);

    event_loop& loop_;
    mesh_agent* agent_ = nullptr;
    evconnlistener* listener_ = nullptr;
    std::map<link_id, std::unique_ptr<link>> links_;
    std::uint64_t next_link_ = 1;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

} // namespace anvilpost
