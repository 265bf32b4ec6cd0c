// HTTP helpers shared by the stand-in servers of the tests: reading requests, replying, closing connections.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost::testing {

inline std::string body_of(evhttp_request* request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

/// Returns the path of the request, without its query.
inline std::string path_of(evhttp_request* request)
{
    const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return path == nullptr ? "" : path;
}

/// Returns the value of a query parameter, or an empty string.
inline std::string query_of(evhttp_request* request, const char* name)
{
    const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    if (query == nullptr) {
        return "";
    }
    evkeyvalq parameters{};
    evhttp_parse_query_str(query, &parameters);
    const char* value = evhttp_find_header(&parameters, name);
    std::string text = value == nullptr ? "" : value;
    evhttp_clear_headers(&parameters);
    return text;
}

/// Returns the value of a request header, or an empty string.
inline std::string header_of(evhttp_request* request, const char* name)
{
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

/// Sends a complete response with the given body.
inline void reply(evhttp_request* request, int status, const std::string& body,
                  const char* type = "application/json")
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

/// Closes a connection after the current callback has returned, unless it has been closed by then.
inline void drop_connection(event_loop& loop, evhttp_connection* connection)
{
    auto open = std::make_shared<evhttp_connection*>(connection);
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection*, void* arg) { *static_cast<evhttp_connection**>(arg) = nullptr; },
        open.get());
    loop.defer([open] {
        if (*open != nullptr) {
            evhttp_connection_set_closecb(*open, nullptr, nullptr);
            evhttp_connection_free(*open);
        }
    });
}

/// Closes the connection without a response.
inline void close_without_reply(event_loop& loop, evhttp_request* request)
{
    drop_connection(loop, evhttp_request_get_connection(request));
}

/// Limits that no test reaches, so that a stand-in never refuses traffic by itself.
inline listener_limits stand_in_listener_limits()
{
    listener_limits limits;
    limits.max_connections_ = 20'000;
    limits.max_body_bytes_ = 64UL << 20U;
    limits.max_arriving_bytes_ = 1UL << 30U;
    limits.idle_timeout_ = std::chrono::seconds(120);
    return limits;
}

} // namespace anvilpost::testing
