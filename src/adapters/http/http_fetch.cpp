// Implementation of the HTTP client with one evhttp client connection per request, and of address
// parsing.
#include "adapters/http/http_fetch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>

namespace anvilpost {
namespace {

/// State of one request; deletes itself after the callback, or is deleted when the loop is destroyed.
struct pending_fetch {
    event_loop& loop_;
    std::function<void(const fetch_result&)> done_;
    evhttp_connection* connection_ = nullptr;
    std::unique_ptr<timer> deadline_;
    bool sent_ = false;
    bool finished_ = false;
    event_loop::cleanup_id cleanup_;
};

evhttp_cmd_type to_evhttp_method(const std::string& method)
{
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

void finish(pending_fetch* pending, const fetch_result& result)
{
    if (pending->finished_) {
        return;
    }
    pending->finished_ = true;
    pending->loop_.defer([pending, result] {
        const std::unique_ptr<pending_fetch> owned(pending);
        owned->loop_.remove_cleanup(owned->cleanup_);
        evhttp_connection_free(owned->connection_);
        owned->done_(result);
    });
}

fetch_result read_result(evhttp_request* request, const pending_fetch& pending)
{
    fetch_result result;
    result.sent_ = pending.sent_;
    if (request == nullptr) {
        return result;
    }
    result.status_ = evhttp_request_get_response_code(request);
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        std::string name = header->key;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        result.headers_[name] = header->value;
    }
    evbuffer* body = evhttp_request_get_input_buffer(request);
    result.body_.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, result.body_.data(), result.body_.size());
    return result;
}

void on_output_change(evbuffer*, const evbuffer_cb_info* info, void* arg)
{
    if (info->n_deleted > 0) {
        static_cast<pending_fetch*>(arg)->sent_ = true;
    }
}

} // namespace

void fetch(event_loop& loop, const fetch_request& request, std::function<void(const fetch_result&)> done)
{
    auto* pending = new pending_fetch{loop, std::move(done), nullptr, nullptr, false, false, {}};
    pending->cleanup_ = loop.add_cleanup([pending] {
        const std::unique_ptr<pending_fetch> owned(pending);
        evhttp_connection_free(owned->connection_);
    });
    pending->connection_ = evhttp_connection_base_bufferevent_new(loop.base(), nullptr, nullptr,
                                                                  request.ip_.c_str(), request.port_);
    evhttp_connection_set_max_body_size(pending->connection_,
                                        static_cast<ev_ssize_t>(request.max_body_bytes_));
    bufferevent* stream = evhttp_connection_get_bufferevent(pending->connection_);
    evbuffer_add_cb(bufferevent_get_output(stream), on_output_change, pending);
    pending->deadline_ =
        std::make_unique<timer>(loop, [pending] { finish(pending, read_result(nullptr, *pending)); });
    pending->deadline_->start(request.timeout_);
    evhttp_request* message = evhttp_request_new(
        [](evhttp_request* answered, void* arg) {
            auto* owner = static_cast<pending_fetch*>(arg);
            finish(owner, read_result(answered, *owner));
        },
        pending);
    evkeyvalq* headers = evhttp_request_get_output_headers(message);
    const std::string host =
        request.host_.empty() ? request.ip_ + ":" + std::to_string(request.port_) : request.host_;
    evhttp_add_header(headers, "Host", host.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers_) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body_.data(), request.body_.size());
    if (evhttp_make_request(pending->connection_, message, to_evhttp_method(request.method_),
                            request.target_.c_str()) != 0) {
        finish(pending, read_result(nullptr, *pending));
    }
}

bool parse_address(const std::string& text, std::string& ip, std::uint16_t& port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr parsed_address{};
    if (inet_pton(AF_INET, host.c_str(), &parsed_address) != 1 &&
        inet_pton(AF_INET6, host.c_str(), &parsed_address) != 1) {
        return false;
    }
    unsigned parsed = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data() + colon + 1, end, parsed);
    if (error != std::errc{} || stopped != end || parsed == 0 || parsed > 65'535) {
        return false;
    }
    ip = host;
    port = static_cast<std::uint16_t>(parsed);
    return true;
}

int to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_storage& address)
{
    address = {};
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address);
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&address);
    if (inet_pton(AF_INET, ip.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    if (inet_pton(AF_INET6, ip.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

std::uint16_t local_port(int socket)
{
    sockaddr_storage bound{};
    socklen_t length = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &length);
    return bound.ss_family == AF_INET6 ? ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port)
                                       : ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
}

} // namespace anvilpost
