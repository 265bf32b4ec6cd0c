// Exchanges with callers on evhttp. evhttp hands a request over when it is whole; the answer streams.
#include "adapters/http/caller_server.h"

#include "adapters/http/evhttp_headers.h"
#include "adapters/logging/json_log.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

namespace anvilpost {
namespace {

std::string_view method_name(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET: return "GET";
    case EVHTTP_REQ_POST: return "POST";
    case EVHTTP_REQ_HEAD: return "HEAD";
    case EVHTTP_REQ_PUT: return "PUT";
    case EVHTTP_REQ_DELETE: return "DELETE";
    case EVHTTP_REQ_OPTIONS: return "OPTIONS";
    case EVHTTP_REQ_TRACE: return "TRACE";
    case EVHTTP_REQ_PATCH: return "PATCH";
    default: return "UNKNOWN";
    }
}

bool may_have_body(evhttp_cmd_type command)
{
    return command == EVHTTP_REQ_POST || command == EVHTTP_REQ_PUT || command == EVHTTP_REQ_PATCH;
}

/// Closes with a reset, so that a caller cannot take a cut-off answer for a whole one. Dissolving the
/// association (connect to AF_UNSPEC) sends the reset before evhttp could send an orderly end.
void reset_connection(evhttp_connection* connection)
{
    const sockaddr nowhere{AF_UNSPEC, {}};
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    if (connect(fd, &nowhere, sizeof nowhere) != 0) {
        write_log(log_level::warning, "could not reset a caller's connection", {{"errno", errno}});
    }
    evhttp_connection_free(connection);
}

problem malformed(std::string detail)
{
    return {problem_kind::malformed_request, verdict::not_run, std::move(detail), std::nullopt};
}

} // namespace

caller_server::caller_server(event_loop& loop, const clock_port& clock, const std::string& ip,
                             std::uint16_t port, caller_limits limits, std::string node)
    : loop_(loop), clock_(clock), limits_(limits), node_(std::move(node)),
      listener_(loop, ip, port, limits.listener_, [this](evhttp_request* request) { on_request(request); })
{
}

caller_server::~caller_server()
{
    for (auto& [unused, open] : exchanges_) {
        evhttp_connection_set_closecb(open->connection_, nullptr, nullptr);
        evhttp_request_set_on_complete_cb(open->request_, nullptr, nullptr);
    }
}

void caller_server::connect(call_engine& engine, upstream_pool& pool)
{
    engine_ = &engine;
    pool_ = &pool;
}

void caller_server::apply(const configuration& config)
{
    service_of_host_.clear();
    services_.clear();
    for (const auto& [name, service] : config.services_) {
        services_[name] = service;
        for (const auto& host : service.hosts_) {
            service_of_host_[host] = name;
        }
    }
}

std::optional<problem> caller_server::check(evhttp_request* request, const header_list& headers) const
{
    const auto framed = parse_framing(headers);
    if (!framed) {
        return malformed("the length of the body is ambiguous, or a header is malformed");
    }
    const auto command = evhttp_request_get_command(request);
    if (!may_have_body(command) && (framed->chunked_ || framed->content_length_.value_or(0) > 0)) {
        return malformed("requests with this method must not have a body");
    }
    const std::string target = evhttp_request_get_uri(request);
    if (!target.starts_with("/") && target != "*") {
        return malformed("the request target must be a path");
    }
    const auto hosts = std::count_if(headers.begin(), headers.end(),
                                     [](const auto& header) { return same_header(header.first, "Host"); });
    if (hosts != 1) {
        return malformed("exactly one Host header is required");
    }
    if (find_header(headers, timeout_header) && !parse_timeout(headers)) {
        return malformed(std::string(timeout_header) + " must be a positive number of milliseconds");
    }
    const std::size_t body = evbuffer_get_length(evhttp_request_get_input_buffer(request));
    if (held_bytes_ + body > limits_.max_held_bytes_) {
        return problem{problem_kind::memory_exhausted, verdict::not_run, "too many request bodies are held",
                       std::chrono::seconds(1)};
    }
    return std::nullopt;
}

void caller_server::on_request(evhttp_request* request)
{
    last_request_ = clock_.now();
    listener_.on_request_whole(request);
    auto headers = input_headers(request);
    if (const auto fault = check(request, headers)) {
        refuse(request, *fault, fault->kind_ == problem_kind::malformed_request);
        return;
    }
    const std::string host = host_without_port(*find_header(headers, "Host"));
    exchange& opened = open_exchange(request, std::move(headers));
    engine_->on_call(describe(opened, host));
}

void caller_server::refuse(evhttp_request* request, const problem& why, bool close_connection)
{
    const std::string request_id = node_ + "-refused-" + std::to_string(next_call_++);
    add_common_headers(request, request_id);
    add_output_header(request, verdict_header, std::string(name_of(why.verdict_)));
    add_output_header(request, "Content-Type", "application/problem+json");
    if (why.retry_after_) {
        add_output_header(request, "Retry-After", std::to_string(why.retry_after_->count()));
    }
    if (close_connection) {
        add_output_header(request, "Connection", "close");
    }
    write_log(log_level::info, "refused a request",
              {{"request_id", request_id}, {"problem", name_of(why.kind_)}, {"detail", why.detail_}});
    const std::string document = problem_document(why, request_id);
    evbuffer_add(evhttp_request_get_output_buffer(request), document.data(), document.size());
    evhttp_send_reply(request, status_of(why.kind_), nullptr, nullptr);
}

caller_server::exchange& caller_server::open_exchange(evhttp_request* request, header_list headers)
{
    const call_id id{next_call_++};
    auto owned = std::make_unique<exchange>(exchange{*this,
                                                     id,
                                                     request,
                                                     evhttp_request_get_connection(request),
                                                     {},
                                                     "",
                                                     0,
                                                     nullptr,
                                                     {},
                                                     false,
                                                     false,
                                                     false});
    exchange& opened = *owned;
    exchanges_[id] = std::move(owned);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    opened.body_bytes_ = evbuffer_get_length(body);
    held_bytes_ += opened.body_bytes_;
    opened.outgoing_.command_ = evhttp_request_get_command(request);
    opened.outgoing_.target_ = evhttp_request_get_uri(request);
    opened.outgoing_.request_id_ =
        find_header(headers, request_id_header)
            .value_or(node_ + "-" + std::to_string(static_cast<std::uint64_t>(id)));
    opened.outgoing_.headers_ = std::move(headers);
    opened.outgoing_.body_ = opened.body_bytes_ == 0 ? nullptr : body;
    opened.method_ = method_name(opened.outgoing_.command_);
    evhttp_connection_set_closecb(
        opened.connection_,
        [](evhttp_connection*, void* arg) {
            auto* open = static_cast<exchange*>(arg);
            open->server_.on_connection_closed(open->call_);
        },
        &opened);
    evhttp_request_set_on_complete_cb(
        request,
        [](evhttp_request*, void* arg) {
            auto* written = static_cast<exchange*>(arg);
            written->server_.on_answer_written(written->call_);
        },
        &opened);
    watch_for_hang_up(opened);
    return opened;
}

/// EV_CLOSED tells of a closed connection without reading: evhttp must not see bytes while it answers.
void caller_server::watch_for_hang_up(exchange& opened)
{
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(opened.connection_));
    opened.hang_up_.reset(event_new(
        loop_.base(), fd, EV_CLOSED,
        [](evutil_socket_t, short, void* arg) {
            auto* open = static_cast<exchange*>(arg);
            open->server_.on_hang_up(open->call_);
        },
        &opened));
    event_add(opened.hang_up_.get(), nullptr);
}

call caller_server::describe(const exchange& opened, const std::string& host) const
{
    const auto& headers = opened.outgoing_.headers_;
    call described;
    described.id_ = opened.call_;
    described.arrival_ = clock_.now();
    described.idempotency_key_ = find_header(headers, idempotency_key_header).value_or("");
    std::string identity =
        opened.method_ + " " + host + opened.outgoing_.target_ + "\n" + described.idempotency_key_;
    if (opened.outgoing_.body_ != nullptr) {
        const auto* bytes = evbuffer_pullup(opened.outgoing_.body_, -1);
        identity.append(reinterpret_cast<const char*>(bytes), opened.body_bytes_);
    }
    described.fingerprint_ = stable_hash(identity);
    const auto service = service_of_host_.find(host);
    if (service == service_of_host_.end()) {
        return described;
    }
    described.service_ = service->second;
    const auto& policy = services_.at(service->second).policy_;
    described.repeatable_ = std::find(policy.repeatable_methods_.begin(), policy.repeatable_methods_.end(),
                                      opened.method_) != policy.repeatable_methods_.end();
    if (const auto marked = find_header(headers, repeatable_header)) {
        described.repeatable_ = *marked == "true";
    }
    const auto asked = parse_timeout(headers).value_or(policy.timeout_);
    described.deadline_ = described.arrival_ + std::min(asked, policy.timeout_);
    return described;
}

caller_server::exchange* caller_server::find(call_id call)
{
    const auto found = exchanges_.find(call);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

const outgoing_request* caller_server::request_of(call_id call)
{
    const auto* open = find(call);
    return open == nullptr ? nullptr : &open->outgoing_;
}

void caller_server::add_common_headers(evhttp_request* request, const std::string& request_id) const
{
    add_output_header(request, request_id_header, request_id);
    if (draining_) {
        add_output_header(request, "Connection", "close");
    }
}

void caller_server::reject(call_id call, const problem& why)
{
    auto* open = find(call);
    if (open == nullptr) {
        return;
    }
    open->answered_ = true;
    add_common_headers(open->request_, open->outgoing_.request_id_);
    add_output_header(open->request_, verdict_header, std::string(name_of(why.verdict_)));
    add_output_header(open->request_, "Content-Type", "application/problem+json");
    if (why.retry_after_) {
        add_output_header(open->request_, "Retry-After", std::to_string(why.retry_after_->count()));
    }
    write_log(log_level::info, "answered with a problem",
              {{"request_id", open->outgoing_.request_id_},
               {"problem", name_of(why.kind_)},
               {"verdict", name_of(why.verdict_)},
               {"detail", why.detail_}});
    const std::string document = problem_document(why, open->outgoing_.request_id_);
    evbuffer_add(evhttp_request_get_output_buffer(open->request_), document.data(), document.size());
    evhttp_send_reply(open->request_, status_of(why.kind_), nullptr, nullptr);
}

void caller_server::relay(call_id call, attempt_id attempt)
{
    auto* open = find(call);
    if (open == nullptr) {
        return;
    }
    open->relaying_ = true;
    open->relayed_ = attempt;
    const auto& headers = pool_->answer_headers(attempt);
    copy_end_to_end_headers(headers, open->request_);
    if (const auto length = find_header(headers, "Content-Length")) {
        add_output_header(open->request_, "Content-Length", *length);
    }
    evhttp_remove_header(evhttp_request_get_output_headers(open->request_), request_id_header);
    add_common_headers(open->request_, open->outgoing_.request_id_);
    evhttp_send_reply_start(open->request_, pool_->answer_status(attempt), nullptr);
}

bool caller_server::on_body(call_id call, evbuffer* bytes)
{
    auto* open = find(call);
    if (open == nullptr || !open->relaying_) {
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
        return true;
    }
    evhttp_send_reply_chunk_with_cb(
        open->request_, bytes,
        [](evhttp_connection*, void* arg) {
            auto* drained = static_cast<exchange*>(arg);
            drained->server_.on_answer_drained(drained->call_);
        },
        open);
    const auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(open->connection_));
    open->paused_ = evbuffer_get_length(output) > limits_.answer_high_water_;
    return !open->paused_;
}

void caller_server::on_answer_drained(call_id call)
{
    auto* open = find(call);
    if (open != nullptr && open->paused_) {
        open->paused_ = false;
        pool_->resume(open->relayed_);
    }
}

void caller_server::on_body_end(call_id call)
{
    auto* open = find(call);
    if (open != nullptr && open->relaying_ && !open->answered_) {
        open->answered_ = true;
        evhttp_send_reply_end(open->request_);
    }
}

void caller_server::abort(call_id call)
{
    auto* open = find(call);
    if (open == nullptr) {
        return;
    }
    write_log(log_level::warning, "broke off an answer because the upstream failed inside it",
              {{"request_id", open->outgoing_.request_id_}});
    evhttp_connection* connection = open->connection_;
    remove(call);
    reset_connection(connection);
}

void caller_server::on_hang_up(call_id call)
{
    auto* open = find(call);
    if (open == nullptr || open->answered_) {
        return;
    }
    evhttp_connection* connection = open->connection_;
    remove(call);
    engine_->on_caller_gone(call);
    evhttp_connection_free(connection);
}

void caller_server::on_connection_closed(call_id call)
{
    if (find(call) == nullptr) {
        return;
    }
    remove(call);
    engine_->on_caller_gone(call);
}

void caller_server::on_answer_written(call_id call)
{
    remove(call);
}

void caller_server::remove(call_id call)
{
    const auto found = exchanges_.find(call);
    if (found == exchanges_.end()) {
        return;
    }
    exchange& closing = *found->second;
    held_bytes_ -= closing.body_bytes_;
    evhttp_connection_set_closecb(closing.connection_, nullptr, nullptr);
    evhttp_request_set_on_complete_cb(closing.request_, nullptr, nullptr);
    closing.hang_up_.reset();
    exchanges_.erase(found);
}

} // namespace anvilpost
