// Connection and memory accounting around evhttp's server. evhttp frees a connection without telling;
// the sweep notices it because evhttp clears the callbacks of a bufferevent that it lets go.
#include "adapters/http/listener.h"

#include "core/problem.h"

#include <arpa/inet.h>
#include <stdexcept>
#include <sys/socket.h>

namespace anvilpost {
namespace {

constexpr duration sweep_period = std::chrono::milliseconds(50);
/// Answer to a request that is refused while it still arrives; evhttp has no request object for it yet.
std::string early_refusal(problem_kind kind)
{
    const problem why{kind, verdict::not_run, "refused while the request was arriving",
                      std::chrono::seconds(1)};
    const std::string document = problem_document(why, "none");
    return "HTTP/1.1 " + std::to_string(status_of(kind)) +
           " Refused\r\nContent-Type: application/problem+json\r\nAnvilpost-Verdict: not_run\r\nRetry-After: "
           "1\r\n"
           "Connection: close\r\nContent-Length: " +
           std::to_string(document.size()) + "\r\n\r\n" + document;
}

bool let_go_by_evhttp(bufferevent* stream)
{
    bufferevent_data_cb on_read = nullptr;
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    bufferevent_getcb(stream, &on_read, &on_write, &on_event, nullptr);
    return on_read == nullptr && on_write == nullptr && on_event == nullptr;
}

} // namespace

listener::listener(event_loop& loop, const std::string& ip, std::uint16_t port, listener_limits limits,
                   handler on_request)
    : loop_(loop), limits_(limits), on_request_(std::move(on_request)), server_(evhttp_new(loop.base())),
      sweep_timer_(loop, [this] { sweep(); })
{
    socket_ = evhttp_bind_socket_with_handle(server_.get(), ip.c_str(), port);
    if (socket_ == nullptr) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    sockaddr_storage bound{};
    socklen_t length = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(socket_), reinterpret_cast<sockaddr*>(&bound), &length);
    port_ = bound.ss_family == AF_INET6 ? ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port)
                                        : ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
    constexpr auto every_method = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                  EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |
                                  EVHTTP_REQ_PATCH;
    evhttp_set_allowed_methods(server_.get(), every_method);
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(limits_.max_header_bytes_));
    // evhttp would answer a large body with a page of its own; on_input refuses it first.
    evhttp_set_max_body_size(server_.get(),
                             static_cast<ev_ssize_t>(2 * limits_.max_body_bytes_ + (1U << 20U)));
    const timeval silence = to_timeval(limits_.idle_timeout_);
    evhttp_set_timeout_tv(server_.get(), &silence);
    evhttp_set_default_content_type(server_.get(), nullptr);
    evhttp_set_bevcb(
        server_.get(), [](event_base*, void* arg) { return static_cast<listener*>(arg)->make_stream(); },
        this);
    evhttp_set_gencb(
        server_.get(),
        [](evhttp_request* request, void* arg) { static_cast<listener*>(arg)->on_request_(request); }, this);
    sweep_timer_.start(sweep_period);
}

listener::~listener()
{
    server_.reset();
    for (const auto& [handle, unused] : streams_) {
        bufferevent_decref(handle);
    }
}

void listener::close()
{
    if (!closed_) {
        closed_ = true;
        evhttp_del_accept_socket(server_.get(), socket_);
    }
}

bufferevent* listener::make_stream()
{
    // The descriptor must live as long as the bufferevent: a descriptor closed earlier is reused by the
    // next connection, whose events are then deleted together with this bufferevent's.
    bufferevent* handle = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_incref(handle);
    auto made = std::make_unique<stream>(stream{*this, handle, 0, false});
    evbuffer_add_cb(
        bufferevent_get_input(handle),
        [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
            auto* from = static_cast<stream*>(arg);
            from->owner_.on_input(*from, info->n_added);
        },
        made.get());
    streams_.emplace(handle, std::move(made));
    if (streams_.size() >= limits_.max_connections_ && !closed_) {
        evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    }
    return handle;
}

void listener::on_input(stream& from, std::size_t added)
{
    from.arriving_bytes_ += added;
    arriving_bytes_ += added;
    const bool body_too_large = from.arriving_bytes_ > limits_.max_body_bytes_ + limits_.max_header_bytes_;
    const bool memory_exhausted = arriving_bytes_ > limits_.max_arriving_bytes_;
    if ((body_too_large || memory_exhausted) && !from.refused_) {
        from.refused_ = true;
        loop_.defer([this, handle = from.handle_, body_too_large] {
            if (const auto found = streams_.find(handle); found != streams_.end()) {
                refuse(*found->second, body_too_large);
            }
        });
    }
}

void listener::refuse(stream& from, bool body_too_large)
{
    if (let_go_by_evhttp(from.handle_) || from.arriving_bytes_ == 0) {
        from.refused_ = false;
        return;
    }
    ++refused_while_arriving_;
    const auto answer =
        early_refusal(body_too_large ? problem_kind::body_too_large : problem_kind::memory_exhausted);
    const int fd = bufferevent_getfd(from.handle_);
    bufferevent_disable(from.handle_, EV_READ);
    send(fd, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
    bufferevent_trigger_event(from.handle_, BEV_EVENT_READING | BEV_EVENT_EOF, BEV_TRIG_DEFER_CALLBACKS);
}

void listener::on_request_whole(evhttp_request* request)
{
    bufferevent* handle = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    const auto found = streams_.find(handle);
    if (found == streams_.end()) {
        return;
    }
    arriving_bytes_ -= found->second->arriving_bytes_;
    found->second->arriving_bytes_ = 0;
}

void listener::sweep()
{
    std::erase_if(streams_, [this](const auto& entry) {
        if (!let_go_by_evhttp(entry.first)) {
            return false;
        }
        arriving_bytes_ -= entry.second->arriving_bytes_;
        bufferevent_decref(entry.first);
        return true;
    });
    if (!closed_ && streams_.size() < limits_.max_connections_) {
        evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
    }
    sweep_timer_.start(sweep_period);
}

} // namespace anvilpost
