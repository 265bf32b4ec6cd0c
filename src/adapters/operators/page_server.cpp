// Looks up the page for each request and sends it, on evhttp.
#include "adapters/operators/page_server.h"

#include <event2/buffer.h>
#include <event2/http.h>

namespace anvilpost {
namespace {

constexpr int not_found = 404;
constexpr int method_not_allowed = 405;

listener_limits page_limits()
{
    listener_limits limits;
    limits.max_connections_ = 200;
    limits.max_body_bytes_ = 1024;
    return limits;
}

} // namespace

page_server::page_server(event_loop& loop, const std::string& ip, std::uint16_t port, page_table pages)
    : pages_(std::move(pages)),
      listener_(loop, ip, port, page_limits(), [this](evhttp_request* request) { on_request(request); })
{
}

void page_server::on_request(evhttp_request* request)
{
    listener_.on_request_complete(request);
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    const char* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    const auto found = pages_.find(path == nullptr ? "" : path);
    page response{not_found, "{\"title\":\"unknown_path\",\"status\":404}\n", "application/problem+json"};
    if (found != pages_.end()) {
        response = evhttp_request_get_command(request) == EVHTTP_REQ_GET
                       ? found->second(query == nullptr ? "" : query)
                       : page{method_not_allowed, "{\"title\":\"method_not_allowed\",\"status\":405}\n",
                              "application/problem+json"};
    }
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", response.type_.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), response.body_.data(), response.body_.size());
    evhttp_send_reply(request, response.status_, nullptr, nullptr);
}

std::string query_parameter(const std::string& query, const std::string& name)
{
    std::size_t start = 0;
    while (start < query.size()) {
        const auto end = std::min(query.find('&', start), query.size());
        const auto pair = query.substr(start, end - start);
        if (pair.starts_with(name + "=")) {
            return pair.substr(name.size() + 1);
        }
        start = end + 1;
    }
    return "";
}

} // namespace anvilpost
