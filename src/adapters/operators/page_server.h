// Serves read-only pages over HTTP: readiness, status, metrics, and data that nodes request from each other.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"

#include <functional>
#include <map>
#include <string>

namespace anvilpost {

/// An HTTP response; `type_` is its content type.
struct page {
    int status_ = 200;
    std::string body_;
    std::string type_ = "application/json";
};

/// Functions that make the pages, by path. Each gets the query string without its question mark.
using page_table = std::map<std::string, std::function<page(const std::string& query)>>;

/// Answers GET requests; unknown paths get 404, other methods on a known path 405.
class page_server {
public:
    /// Throws std::runtime_error when the address cannot be bound.
    page_server(event_loop& loop, const std::string& ip, std::uint16_t port, page_table pages);

private:
    void on_request(evhttp_request* request);

    page_table pages_;
    listener listener_;
};

/// Returns the value of a parameter in a query string, or an empty string when it is absent. Values are not
/// percent-decoded.
std::string query_parameter(const std::string& query, const std::string& name);

} // namespace anvilpost
