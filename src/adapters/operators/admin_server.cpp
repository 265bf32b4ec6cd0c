// Routes the requests of the operators' HTTP interface and sends the responses.
#include "adapters/operators/admin_server.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <memory>

namespace anvilpost {
namespace {

constexpr std::size_t max_intent_bytes = 1024UL * 1024;

std::string read_body(evhttp_request* request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

listener_limits admin_limits()
{
    listener_limits limits;
    limits.max_connections_ = 100;
    limits.max_body_bytes_ = max_intent_bytes;
    limits.max_arriving_bytes_ = 4 * max_intent_bytes;
    return limits;
}

} // namespace

admin_server::admin_server(event_loop& loop, const std::string& ip, std::uint16_t port,
                           intent_service& intents, admin_callbacks callbacks)
    : intents_(intents), callbacks_(std::move(callbacks)),
      listener_(loop, ip, port, admin_limits(), [this](evhttp_request* request) { on_request(request); })
{
}

void admin_server::send_text(evhttp_request* request, int status, const std::string& text, const char* type)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

void admin_server::answer(evhttp_request* request, const api_response& response)
{
    const bool failed = response.status_ >= 400;
    send_text(request, response.status_, response.body_.dump() + "\n",
              failed ? "application/problem+json" : "application/json");
}

intent_service::response_callback admin_server::defer_response(evhttp_request* request)
{
    // The request must not be used after its connection has closed, so the close callback clears the pointer.
    // The reference that this callback owns is deleted either there or when the request is answered.
    auto shared_request = std::make_shared<open_request>(open_request{request});
    auto* close_reference = new std::shared_ptr<open_request>(shared_request);
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection*, void* arg) {
            const std::unique_ptr<std::shared_ptr<open_request>> owned(
                static_cast<std::shared_ptr<open_request>*>(arg));
            (*owned)->request_ = nullptr;
        },
        close_reference);
    return [shared_request, close_reference](const api_response& response) {
        if (shared_request->request_ == nullptr) {
            return;
        }
        evhttp_connection_set_closecb(evhttp_request_get_connection(shared_request->request_), nullptr,
                                      nullptr);
        delete close_reference;
        answer(shared_request->request_, response);
    };
}

void admin_server::on_request(evhttp_request* request)
{
    listener_.on_request_complete(request);
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path_text = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    const std::string path = path_text == nullptr ? "" : path_text;
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET: route_get(request, path); return;
    case EVHTTP_REQ_POST: route_post(request, path); return;
    default: answer(request, {405, {{"title", "method_not_allowed"}, {"status", 405}}}); return;
    }
}

void admin_server::route_get(evhttp_request* request, const std::string& path)
{
    if (path == "/live") {
        answer(request, {200, {{"live", true}}});
    }
    else if (path == "/ready") {
        const bool ready = callbacks_.ready_();
        answer(request, {ready ? 200 : 503, {{"ready", ready}}});
    }
    else if (path == "/metrics") {
        send_text(request, 200, callbacks_.metrics_(), "text/plain; version=0.0.4");
    }
    else if (path == "/v1/status") {
        answer(request, {200, callbacks_.status_()});
    }
    else if (path == "/v1/burn/local") {
        answer(request, {200, callbacks_.local_burn_()});
    }
    else if (path == "/v1/burn") {
        callbacks_.burn_(defer_response(request));
    }
    else if (path == "/v1/configuration") {
        intents_.read_configuration(defer_response(request));
    }
    else {
        answer(request, {404, {{"title", "unknown_path"}, {"status", 404}}});
    }
}

void admin_server::route_post(evhttp_request* request, const std::string& path)
{
    const std::string plans = "/v1/plans/";
    const std::string confirm = "/confirm";
    if (path == "/v1/intents") {
        intents_.make_plan(read_body(request), defer_response(request));
        return;
    }
    if (path.starts_with(plans) && path.ends_with(confirm) && path.size() > plans.size() + confirm.size()) {
        const auto id = path.substr(plans.size(), path.size() - plans.size() - confirm.size());
        intents_.confirm(id, read_body(request), defer_response(request));
        return;
    }
    answer(request, {404, {{"title", "unknown_path"}, {"status", 404}}});
}

} // namespace anvilpost
