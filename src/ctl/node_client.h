// Requests to a node's admin interface, one at a time, waiting for the answer.
#pragma once

#include "adapters/http/http_fetch.h"

#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

struct node_answer {
    int status_ = 0;      ///< 0 when the node did not answer.
    nlohmann::json body_; ///< Null when the answer was no JSON.
    std::string text_;
};

class node_client {
public:
    node_client(std::string ip, std::uint16_t port, duration timeout)
        : ip_(std::move(ip)), port_(port), timeout_(timeout)
    {
    }

    node_answer get(const std::string& path) { return send("GET", path, ""); }
    node_answer post(const std::string& path, const std::string& body) { return send("POST", path, body); }

private:
    node_answer send(const std::string& method, const std::string& path, const std::string& body);

    event_loop loop_;
    std::string ip_;
    std::uint16_t port_;
    duration timeout_;
};

} // namespace anvilpost
