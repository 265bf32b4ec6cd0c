// The HTTP interface of a node for operators: health, status, metrics, the configuration and its changes
// (an operator states an intent, reviews the plan made from it, and confirms the plan).
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"
#include "adapters/operators/intent_service.h"

#include <functional>
#include <string>

namespace anvilpost {

/// Functions through which the admin server reads the state of the node. All of them must be set before the
/// first request.
struct admin_callbacks {
    std::function<bool()> ready_;
    std::function<nlohmann::json()> status_;
    std::function<std::string()> metrics_;
    std::function<nlohmann::json()> local_burn_; ///< Error budget counts of this node only, for other nodes.
    /// Error budget use of all nodes; answers through its argument, since other nodes are asked first.
    std::function<void(std::function<void(const api_response&)>)> burn_;
};

/// Serves these routes:
/// GET /live, GET /ready, GET /metrics, GET /v1/status, GET /v1/burn, GET /v1/burn/local,
/// GET /v1/configuration,
/// POST /v1/intents, POST /v1/plans/{id}/confirm.
class admin_server {
public:
    admin_server(event_loop& loop, const std::string& ip, std::uint16_t port, intent_service& intents,
                 admin_callbacks callbacks);

    [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

private:
    /// A request that has not been answered; its pointer becomes null if the connection closes first.
    struct open_request {
        evhttp_request* request_ = nullptr;
    };

    void on_request(evhttp_request* request);
    void route_get(evhttp_request* request, const std::string& path);
    void route_post(evhttp_request* request, const std::string& path);
    /// Returns a callback that answers the request, or does nothing if its connection has closed.
    intent_service::response_callback defer_response(evhttp_request* request);
    static void answer(evhttp_request* request, const api_response& response);
    static void send_text(evhttp_request* request, int status, const std::string& text, const char* type);

    intent_service& intents_;
    admin_callbacks callbacks_;
    listener listener_;
};

} // namespace anvilpost
