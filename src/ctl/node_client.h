// Blocking HTTP client for a node's admin interface; sends one request at a time.
#pragma once

#include "adapters/http/http_fetch.h"

#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// A node's response to one request.
struct node_response {
    int status_ = 0;      ///< HTTP status; 0 when no complete response, or a 200 without a document, arrived.
    nlohmann::json body_; ///< Null when the response is not JSON.
    std::string text_;    ///< The response's body as received.
};

/// Client for one node, given by its address; `timeout` bounds each request.
class node_client {
public:
    node_client(std::string ip, std::uint16_t port, duration timeout)
        : ip_(std::move(ip)), port_(port), timeout_(timeout)
    {
    }

    node_response get(const std::string& path) { return send("GET", path, ""); }
    node_response post(const std::string& path, const std::string& body) { return send("POST", path, body); }

private:
    node_response send(const std::string& method, const std::string& path, const std::string& body);

    event_loop loop_;
    std::string ip_;
    std::uint16_t port_;
    duration timeout_;
};

} // namespace anvilpost
