// Implements WebSocket sessions on websocketpp. This is the only source file that includes websocketpp, and
// it is compiled as C++17. It uses the iostream transport, whose input and output the caller provides.
#include "adapters/mesh/websocket_session.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace anvilpost {
namespace {

using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

template <class Endpoint>
class session : public websocket_session {
public:
    using connection_ptr = typename Endpoint::connection_ptr;

    explicit session(websocket_callbacks callbacks) : callbacks_(std::move(callbacks))
    {
        endpoint_.clear_access_channels(websocketpp::log::alevel::all);
        endpoint_.clear_error_channels(websocketpp::log::elevel::all);
        endpoint_.set_max_message_size(max_message_bytes);
        endpoint_.set_write_handler(
            [this](const websocketpp::connection_hdl&, char const* bytes, size_t size) {
                callbacks_.on_write_(bytes, size);
                return websocketpp::lib::error_code();
            });
        endpoint_.set_open_handler([this](const websocketpp::connection_hdl&) {
            handshake_done_ = true;
            callbacks_.on_open_();
        });
        endpoint_.set_message_handler(
            [this](const websocketpp::connection_hdl&, const typename Endpoint::message_ptr& message) {
                callbacks_.on_message_(message->get_payload());
            });
        endpoint_.set_fail_handler([this](const websocketpp::connection_hdl&) { callbacks_.on_closed_(); });
        endpoint_.set_close_handler([this](const websocketpp::connection_hdl&) { callbacks_.on_closed_(); });
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    ~session() override
    {
        // websocketpp may call back from its destructors, when the owner of the callbacks may be gone.
        callbacks_ = {[](const char*, std::size_t) {}, [] {}, [](const std::string&) {}, [] {}};
    }

    void on_bytes(const char* bytes, std::size_t size) override
    {
        // Keeps the connection alive until the call returns.
        const connection_ptr kept_alive = connection_;
        kept_alive->read_all(bytes, size);
    }

    void send(const std::string& message) override
    {
        if (handshake_done_) {
            connection_->send(message, websocketpp::frame::opcode::binary);
        }
    }

    websocket_callbacks callbacks_;
    Endpoint endpoint_;
    connection_ptr connection_;
    bool handshake_done_ = false;
};

} // namespace

std::unique_ptr<websocket_session> websocket_session::make_server(websocket_callbacks callbacks)
{
    auto created = std::make_unique<session<server_endpoint>>(std::move(callbacks));
    created->connection_ = created->endpoint_.get_connection();
    created->connection_->start();
    return created;
}

std::unique_ptr<websocket_session> websocket_session::make_client(const std::string& host,
                                                                  websocket_callbacks callbacks)
{
    auto created = std::make_unique<session<client_endpoint>>(std::move(callbacks));
    websocketpp::lib::error_code error;
    created->connection_ = created->endpoint_.get_connection("ws://" + host + "/mesh", error);
    if (error) {
        throw std::runtime_error("cannot create a WebSocket connection: " + error.message());
    }
    created->endpoint_.connect(created->connection_);
    return created;
}

} // namespace anvilpost
