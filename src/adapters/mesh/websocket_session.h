// One WebSocket connection (RFC 6455) as a state machine over bytes, without sockets, on websocketpp. This
// header is plain C++17: websocketpp 0.8.2 does not compile as C++20, so only one source file includes it.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace anvilpost {

/// Callbacks of a session. They may be called from within the member functions of the session.
struct websocket_callbacks {
    std::function<void(const char* bytes, std::size_t size)> on_write_; ///< Bytes to send to the peer.
    std::function<void()> on_open_;                                     ///< The handshake has succeeded.
    std::function<void(const std::string& message)> on_message_;        ///< A complete message arrived.
    std::function<void()> on_closed_;                                   ///< The session failed or was closed.
};

class websocket_session {
public:
    /// A received message larger than this ends the session.
    static constexpr std::size_t max_message_bytes = 1'200'000;

    /// The side that accepted the connection. It waits for the handshake of the peer.
    static std::unique_ptr<websocket_session> make_server(websocket_callbacks callbacks);
    /// The side that opened the connection. It starts the handshake at once; `host` is the "ip:port" of the
    /// peer. Throws std::runtime_error when `host` does not form a valid address.
    static std::unique_ptr<websocket_session> make_client(const std::string& host,
                                                          websocket_callbacks callbacks);

    virtual ~websocket_session() = default;

    /// Processes bytes received from the peer.
    virtual void on_bytes(const char* bytes, std::size_t size) = 0;

    /// Sends one binary message. Does nothing before the handshake has succeeded.
    virtual void send(const std::string& message) = 0;
};

} // namespace anvilpost
