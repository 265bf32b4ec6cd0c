// Serves a few read-only pages over HTTP: readiness, status, metrics, and what nodes ask of each other.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"

#include <functional>
#include <map>
#include <string>

namespace anvilpost {

struct page {
    int status_ = 200;
    std::string body_;
    std::string type_ = "application/json";
};

/// Pages by path. A page gets the query string, without its question mark.
using page_table = std::map<std::string, std::function<page(const std::string& query)>>;

class page_server {
public:
    /// Throws std::runtime_error when the address cannot be bound.
    page_server(event_loop& loop, const std::string& ip, std::uint16_t port, page_table pages);

private:
    void on_request(evhttp_request* request);

    page_table pages_;
    listener listener_;
};

/// Returns a parameter of a query string, or an empty string. Values are taken as they are.
std::string query_parameter(const std::string& query, const std::string& name);

} // namespace anvilpost
