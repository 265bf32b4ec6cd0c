// One WebSocket connection (RFC 6455) as a state machine over bytes, on websocketpp. The header is
// plain C++17: websocketpp 0.8.2 does not compile as C++20, so only the one source file includes it.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace anvilpost {

/// Callbacks of a session. They may come from inside its functions.
struct websocket_callbacks {
    std::function<void(const char* bytes, std::size_t size)> write_; ///< Bytes for the network.
    std::function<void()> open_;                                     ///< The WebSocket handshake is over.
    std::function<void(const std::string& message)> message_;        ///< A whole binary message.
    std::function<void()> failed_;                                   ///< The session is over.
};

class websocket_session {
public:
    /// Messages larger than this end the session.
    static constexpr std::size_t max_message_bytes = 1'200'000;

    static std::unique_ptr<websocket_session> make_server(websocket_callbacks callbacks);
    static std::unique_ptr<websocket_session> make_client(const std::string& host,
                                                          websocket_callbacks callbacks);

    virtual ~websocket_session() = default;

    /// Feeds bytes that came from the network.
    virtual void on_bytes(const char* bytes, std::size_t size) = 0;

    /// Sends one binary message. Does nothing before the handshake is over.
    virtual void send(const std::string& message) = 0;
};

} // namespace anvilpost
