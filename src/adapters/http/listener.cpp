// Connection and memory accounting around evhttp's server. evhttp frees connections without notifying
// their listener. A periodic sweep finds those connections by their bufferevents, whose callbacks evhttp
// clears when it releases them.
#include "adapters/http/listener.h"

#include "adapters/http/http_fetch.h"
#include "vocabulary/problem.h"

#include <stdexcept>

namespace anvilpost {
namespace {

constexpr duration sweep_period = std::chrono::milliseconds(50);

/// Builds the response to a request that is refused before it is complete. It is written by hand, because
/// evhttp has no request object yet.
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

bool released_by_evhttp(bufferevent* stream)
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
    port_ = local_port(evhttp_bound_socket_get_fd(socket_));
    constexpr auto every_method = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                  EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_TRACE |
                                  EVHTTP_REQ_PATCH;
    evhttp_set_allowed_methods(server_.get(), every_method);
    // Above these sizes evhttp answers with its own error page. They are set beyond this listener's limits,
    // so that on_input refuses the request first, with a problem document.
    evhttp_set_max_headers_size(server_.get(), static_cast<ev_ssize_t>(2 * limits_.max_header_bytes_));
    evhttp_set_max_body_size(server_.get(),
                             static_cast<ev_ssize_t>(2 * limits_.max_body_bytes_ + (1U << 20U)));
    const timeval idle_timeout = to_timeval(limits_.idle_timeout_);
    evhttp_set_timeout_tv(server_.get(), &idle_timeout);
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
    // The descriptor must stay open as long as the bufferevent exists. If it were closed earlier, the next
    // connection could reuse its number, and freeing this bufferevent would delete that connection's events.
    bufferevent* handle = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_incref(handle);
    auto made = std::make_unique<stream>(
        stream{*this, handle, request_head_scanner(limits_.max_header_bytes_), 0, std::nullopt});
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

/// Checks the last `added` bytes of the input if they belong to a request's head.
std::optional<problem_kind> listener::scan_head(stream& from, std::size_t added)
{
    if (added == 0 || from.head_.complete()) {
        return std::nullopt;
    }
    evbuffer* input = bufferevent_get_input(from.handle_);
    std::string bytes(added, '\0');
    evbuffer_ptr start{};
    evbuffer_ptr_set(input, &start, evbuffer_get_length(input) - added, EVBUFFER_PTR_SET);
    evbuffer_copyout_from(input, &start, bytes.data(), bytes.size());
    return from.head_.feed(bytes);
}

/// Checks the limits. Runs in the evbuffer's callback, before evhttp sees the bytes.
void listener::on_input(stream& from, std::size_t added)
{
    from.arriving_bytes_ += added;
    arriving_bytes_ += added;
    if (from.refused_) {
        return;
    }
    from.refused_ = scan_head(from, added);
    if (!from.refused_ && from.arriving_bytes_ > limits_.max_body_bytes_ + limits_.max_header_bytes_) {
        from.refused_ = problem_kind::body_too_large;
    }
    if (!from.refused_ && arriving_bytes_ > limits_.max_arriving_bytes_) {
        from.refused_ = problem_kind::memory_exhausted;
    }
    if (!from.refused_) {
        return;
    }
    schedule_refusal(from);
}

void listener::schedule_refusal(stream& from)
{
    // Without a read callback evhttp processes no further input of this connection. The response is sent
    // later, since this code runs inside a callback of the input buffer.
    bufferevent_data_cb on_write = nullptr;
    bufferevent_event_cb on_event = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(from.handle_, nullptr, &on_write, &on_event, &argument);
    bufferevent_setcb(from.handle_, nullptr, on_write, on_event, argument);
    loop_.defer([this, handle = from.handle_] {
        if (const auto found = streams_.find(handle); found != streams_.end()) {
            refuse(*found->second);
        }
    });
}

void listener::refuse(stream& from)
{
    if (released_by_evhttp(from.handle_)) {
        return;
    }
    ++refused_while_arriving_;
    const auto response = early_refusal(*from.refused_);
    const int fd = bufferevent_getfd(from.handle_);
    bufferevent_disable(from.handle_, EV_READ);
    send(fd, response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
    bufferevent_trigger_event(from.handle_, BEV_EVENT_READING | BEV_EVENT_EOF, BEV_TRIG_DEFER_CALLBACKS);
}

void listener::on_request_complete(evhttp_request* request)
{
    bufferevent* handle = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    const auto found = streams_.find(handle);
    if (found == streams_.end()) {
        return;
    }
    stream& from = *found->second;
    arriving_bytes_ -= from.arriving_bytes_;
    // The remaining input belongs to the connection's next, pipelined request. Errors in it are left to
    // evhttp, which reports them after the response to the current request.
    from.arriving_bytes_ = evbuffer_get_length(bufferevent_get_input(handle));
    arriving_bytes_ += from.arriving_bytes_;
    from.head_.reset();
    scan_head(from, from.arriving_bytes_);
}

void listener::sweep()
{
    std::erase_if(streams_, [this](const auto& entry) {
        if (!released_by_evhttp(entry.first)) {
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
