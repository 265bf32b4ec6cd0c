// Implementation of the server for callers: validates each complete request, makes a call of it for the
// call engine, and relays the response that the engine chose.
#include "adapters/http/caller_server.h"

#include "adapters/http/http_fetch.h"
#include "adapters/logging/json_log.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <arpa/inet.h>
#include <stdexcept>
#include <utility>

namespace anvilpost {
namespace {

/// Granularity at which the connections' timeouts are enforced; they are usually several seconds long.
constexpr duration sweep_period = std::chrono::milliseconds(250);
constexpr int listen_backlog = 512;

/// A node that has just started, or whose configuration may be out of date, receives the current one from its
/// peers or the store within this time. A call that waits for it is answered sooner than one that is refused
/// and retried by its caller.
constexpr duration configuration_wait_timeout = std::chrono::milliseconds(400);
constexpr std::size_t max_calls_waiting_for_configuration = 200;
constexpr std::chrono::milliseconds retry_after_without_configuration{200};

/// A request whose first try was at least this long ago (`first_try_inference`) is a caller's retry.
constexpr std::chrono::milliseconds caller_retry_threshold{40};

problem malformed(std::string detail)
{
    return {problem_kind::malformed_request, verdict::not_run, std::move(detail), std::nullopt};
}

bool method_may_have_body(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

std::string reason_phrase(int status)
{
    switch (status) {
    case 400: return "Bad Request";
    case 401: return "Unauthorized";
    case 404: return "Not Found";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 422: return "Unprocessable Content";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Error";
    }
}

} // namespace

caller_server::caller_server(event_loop& loop, const clock_port& clock, random_port& random,
                             const std::string& ip, std::uint16_t port, const caller_limits& limits,
                             const header_names& names, std::string node,
                             const organisation_directory& organisations)
    : loop_(loop), clock_(clock), random_(random), limits_(limits),
      connection_limits_(limits.connection_limits_), arriving_{limits.max_arriving_bytes_, 0},
      unsent_{limits.max_unsent_bytes_}, large_responses_(loop, limits.link_bytes_per_second_), names_(names),
      node_(std::move(node)), organisations_(organisations),
      configuration_wait_timer_(loop, [this] { refuse_waiting_calls(); }),
      sweep_timer_(loop, [this] { sweep(); })
{
    sockaddr_storage address{};
    const int length = to_socket_address(ip, port, address);
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* arg) {
            static_cast<caller_server*>(arg)->accept(socket);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
        reinterpret_cast<sockaddr*>(&address), length);
    if (listener_ == nullptr) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    port_ = local_port(evconnlistener_get_fd(listener_));
    sweep_timer_.start(sweep_period);
}

caller_server::~caller_server()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
}

void caller_server::connect(call_engine& engine, upstream_pool& pool)
{
    engine_ = &engine;
    pool_ = &pool;
}

void caller_server::apply(const configuration& config)
{
    revision_ = config.revision_;
    routes_.apply(config, random_);
    std::erase_if(first_tries_, [&](const auto& entry) { return !routes_.has(entry.first); });
    services_.clear();
    for (const auto& [name, service] : config.services_) {
        services_[name] = service;
    }
    connection_limits_ = limits_.connection_limits_;
    if (const auto& wanted = config.caller_limits_) {
        connection_limits_.max_header_bytes_ = static_cast<std::size_t>(wanted->max_header_bytes_);
        connection_limits_.max_body_bytes_ = static_cast<std::size_t>(wanted->max_body_bytes_);
        connection_limits_.header_timeout_ = wanted->header_timeout_;
        connection_limits_.idle_timeout_ = wanted->idle_timeout_;
    }
}

void caller_server::accept(int socket)
{
    ++counters_.connections_accepted_;
    auto accepted = std::make_unique<caller_connection>(loop_, clock_, connection_limits_, arriving_, unsent_,
                                                        socket, *this);
    if (draining_) {
        accepted->close_after_response();
    }
    connections_.emplace(accepted.get(), std::move(accepted));
    if (connections_.size() >= limits_.max_connections_) {
        evconnlistener_disable(listener_);
    }
}

void caller_server::sweep()
{
    std::vector<caller_connection*> all;
    all.reserve(connections_.size());
    for (const auto& [handle, unused] : connections_) {
        all.push_back(handle);
    }
    for (auto* connection : all) {
        connection->enforce_timeouts();
    }
    sweep_timer_.start(sweep_period);
}

void caller_server::start_draining()
{
    draining_ = true;
    for (const auto& [handle, unused] : connections_) {
        handle->close_after_response();
    }
}

void caller_server::stop_accepting()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
        listener_ = nullptr;
    }
}

void caller_server::close_idle_connections()
{
    std::vector<caller_connection*> all;
    for (const auto& [handle, unused] : connections_) {
        all.push_back(handle);
    }
    for (auto* connection : all) {
        connection->close_if_idle();
    }
}

std::optional<problem> caller_server::validate(message_reader& request) const
{
    const auto& head = request.head();
    const auto framed = parse_framing(head.headers_);
    if (!framed) {
        return malformed("the length of the body is ambiguous, or a header is malformed");
    }
    if (!head.method_known_) {
        return malformed("the method is unknown");
    }
    if (!method_may_have_body(head.method_) &&
        (framed->chunked_ || framed->content_length_.value_or(0) > 0)) {
        return malformed("requests with this method must not have a body");
    }
    if (!head.target_.starts_with("/") && head.target_ != "*") {
        return malformed("the request target must be a path");
    }
    const auto hosts = std::count_if(head.headers_.begin(), head.headers_.end(),
                                     [](const auto& header) { return same_header(header.first, "Host"); });
    if (hosts != 1) {
        return malformed("exactly one Host header is required");
    }
    if (find_header(head.headers_, names_.time_left_) && !parse_timeout(head.headers_, names_.time_left_)) {
        return malformed(names_.time_left_ + " must be a positive number of milliseconds");
    }
    if (held_bytes_ + evbuffer_get_length(request.body()) > limits_.max_held_bytes_) {
        return problem{problem_kind::memory_exhausted, verdict::not_run, "too many request bodies are held",
                       std::chrono::seconds(1)};
    }
    return std::nullopt;
}

void caller_server::on_request(caller_connection& from)
{
    last_request_ = clock_.now();
    ++counters_.requests_;
    if (const auto fault = validate(from.request())) {
        if (fault->kind_ == problem_kind::malformed_request) {
            from.close_after_response();
        }
        on_bad_request(from, *fault);
        return;
    }
    auto& opened = open_exchange(from);
    const auto& headers = opened.outgoing_.headers_;
    const bool forwarded = find_header(headers, forwarded_attempts_header).has_value();
    const waiting_for_configuration arrived{
        clock_.now(), opened.call_, forwarded ? parse_revision(headers, forwarded_revision_header) : 0};
    if (may_start(arrived)) {
        start(opened);
        return;
    }
    waiting_for_configuration_.push_back(arrived);
    if (waiting_for_configuration_.size() > max_calls_waiting_for_configuration) {
        refuse_waiting_calls();
    }
    else if (waiting_for_configuration_.size() == 1) {
        configuration_wait_timer_.start(configuration_wait_timeout);
    }
}

bool caller_server::may_start(const waiting_for_configuration& arrived) const
{
    return configured_ && arrived.revision_ <= revision_ && (!is_current_ || is_current_());
}

void caller_server::start(exchange& opened)
{
    const auto& outgoing = opened.outgoing_;
    const auto* route =
        routes_.find(host_without_port(*find_header(outgoing.headers_, "Host")), outgoing.target_);
    auto new_call = make_call(opened, route);
    opened.large_ = route != nullptr && route->large_responses_;
    // The engine answers that there is no route, whether or not the caller has a key.
    if (route == nullptr || authenticate_call(opened, *route, new_call)) {
        engine_->on_call(new_call);
    }
}

/// Sets the call's organisation, or answers 401 and returns false.
bool caller_server::authenticate_call(exchange& opened, const route_config& route, call& new_call)
{
    const auto identity = authenticate(opened.outgoing_, organisations_, names_, route.allow_anonymous_,
                                       new_call.forwarded_by_peer_);
    if (!identity.accepted_) {
        ++counters_.unauthorised_;
        reject(opened.call_, {problem_kind::unauthorised, verdict::not_run,
                              "the request shows no key that an organisation holds", std::nullopt});
        return false;
    }
    new_call.key_ = identity.key_;
    if (identity.organisation_ != nullptr) {
        new_call.organisation_ = identity.organisation_->name_;
        new_call.priority_ = identity.organisation_->config_.priority_.value_or(new_call.priority_);
    }
    return true;
}

void caller_server::set_configured(bool configured)
{
    configured_ = configured;
    start_waiting_calls();
}

void caller_server::start_waiting_calls()
{
    if (waiting_for_configuration_.empty()) {
        return;
    }
    // Starting a call may answer it, and its caller may send the next request.
    const auto waiting = std::exchange(waiting_for_configuration_, {});
    std::vector<waiting_for_configuration> still_waiting;
    for (const auto& arrived : waiting) {
        auto* opened = find(arrived.call_);
        if (opened != nullptr && may_start(arrived)) {
            start(*opened);
        }
        else if (opened != nullptr) {
            still_waiting.push_back(arrived);
        }
    }
    waiting_for_configuration_.insert(waiting_for_configuration_.begin(), still_waiting.begin(),
                                      still_waiting.end());
}

/// Refuses calls that have waited too long for a configuration, and the oldest ones when too many wait.
void caller_server::refuse_waiting_calls()
{
    const auto now = clock_.now();
    std::size_t refused = 0;
    while (refused < waiting_for_configuration_.size() &&
           (now - waiting_for_configuration_[refused].since_ >= configuration_wait_timeout ||
            waiting_for_configuration_.size() - refused > max_calls_waiting_for_configuration)) {
        reject(waiting_for_configuration_[refused].call_,
               {problem_kind::not_configured, verdict::not_run, "this node has no current configuration",
                retry_after_without_configuration});
        ++refused;
    }
    waiting_for_configuration_.erase(waiting_for_configuration_.begin(),
                                     waiting_for_configuration_.begin() +
                                         static_cast<std::ptrdiff_t>(refused));
    if (!waiting_for_configuration_.empty()) {
        configuration_wait_timer_.start(configuration_wait_timeout -
                                        (now - waiting_for_configuration_.front().since_));
    }
}

void caller_server::on_bad_request(caller_connection& from, const problem& why)
{
    ++counters_.refused_before_routing_;
    send_problem(from, why, node_ + "-refused-" + std::to_string(next_call_++));
}

/// Writes a complete response that anvilpost itself generates, with a problem document as its body.
void caller_server::send_problem(caller_connection& to, const problem& why, const std::string& request_id)
{
    const std::string document = problem_document(why, request_id);
    const bool no_body = to.request().head().method_ == "HEAD";
    response_start start{
        status_of(why.kind_), reason_phrase(status_of(why.kind_)), {}, document.size(), no_body};
    start.headers_.emplace_back(names_.request_id_, request_id);
    start.headers_.emplace_back(verdict_header, std::string(name_of(why.verdict_)));
    start.headers_.emplace_back("Content-Type", "application/problem+json");
    if (why.kind_ == problem_kind::unauthorised) {
        start.headers_.emplace_back("WWW-Authenticate", names_.authorization_scheme_);
    }
    if (why.retry_after_) {
        const auto delay = names_.fractional_retry_after_
                               ? *why.retry_after_
                               : std::chrono::ceil<std::chrono::seconds>(*why.retry_after_);
        start.headers_.emplace_back("Retry-After", retry_after_text(delay));
    }
    write_log(log_level::info, "answered with a problem",
              {{"request_id", request_id},
               {"problem", name_of(why.kind_)},
               {"status", status_of(why.kind_)},
               {"verdict", name_of(why.verdict_)},
               {"retry_after_ms", why.retry_after_ ? why.retry_after_->count() : 0},
               {"detail", why.detail_}});
    to.start_response(start);
    const owned_evbuffer body(evbuffer_new());
    evbuffer_add(body.get(), document.data(), document.size());
    to.add_body(body.get());
    to.end_response();
}

caller_server::exchange& caller_server::open_exchange(caller_connection& from)
{
    const call_id id{next_call_++};
    auto& request = from.request();
    auto owned = std::make_unique<exchange>(exchange{id, from, {}, 0, {}, 0, false, false, false});
    exchange& opened = *owned;
    opened.body_bytes_ = evbuffer_get_length(request.body());
    held_bytes_ += opened.body_bytes_;
    auto& outgoing = opened.outgoing_;
    outgoing.method_ = request.head().method_;
    outgoing.target_ = request.head().target_;
    outgoing.headers_ = std::move(request.head().headers_);
    outgoing.request_id_ = find_header(outgoing.headers_, names_.request_id_)
                               .value_or(names_.generate_request_ids_
                                             ? node_ + "-" + std::to_string(static_cast<std::uint64_t>(id))
                                             : "");
    outgoing.body_ = request.body();
    outgoing.has_body_ = method_may_have_body(outgoing.method_);
    exchanges_[id] = std::move(owned);
    call_by_connection_[&from] = id;
    return opened;
}

call caller_server::make_call(const exchange& opened, const route_config* route)
{
    const auto& outgoing = opened.outgoing_;
    const std::string host = host_without_port(*find_header(outgoing.headers_, "Host"));
    call new_call;
    new_call.id_ = opened.call_;
    new_call.request_id_ = outgoing.request_id_;
    new_call.arrival_ = clock_.now();
    new_call.idempotency_key_ = find_header(outgoing.headers_, names_.idempotency_key_).value_or("");
    new_call.fingerprint_ = stable_hash(outgoing.method_ + " " + host + outgoing.target_ + "\n" +
                                        new_call.idempotency_key_ + "\n");
    if (opened.body_bytes_ > 0) {
        const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(outgoing.body_, -1));
        new_call.fingerprint_ = stable_hash({bytes, opened.body_bytes_}, new_call.fingerprint_);
    }
    if (route == nullptr) {
        return new_call;
    }
    new_call.route_ = route->name_;
    new_call.service_ = routes_.next_service(*route);
    new_call.priority_ = route->priority_;
    new_call.max_attempts_ = route->max_attempts_;
    new_call.repeatable_ = route->repeat_ == repeat_rule::repeatable;
    if (const auto service = services_.find(new_call.service_);
        route->repeat_ == repeat_rule::by_method && service != services_.end()) {
        const auto& methods = service->second.policy_.repeatable_methods_;
        new_call.repeatable_ = std::find(methods.begin(), methods.end(), outgoing.method_) != methods.end();
    }
    if (const auto marked = find_header(outgoing.headers_, names_.repeatable_)) {
        new_call.repeatable_ = *marked == "true";
    }
    if (find_header(outgoing.headers_, forwarded_attempts_header)) {
        new_call.forwarded_by_peer_ = true;
        new_call.max_attempts_ =
            std::min(new_call.max_attempts_, parse_attempts(outgoing.headers_, forwarded_attempts_header));
    }
    const auto requested_timeout =
        parse_timeout(outgoing.headers_, names_.time_left_).value_or(route->timeout_);
    new_call.deadline_ = new_call.arrival_ + std::min(requested_timeout, route->timeout_);
    auto& first_tries = first_tries_[route->name_];
    if (!new_call.forwarded_by_peer_) {
        first_tries.observe(requested_timeout);
    }
    const auto elapsed_since_first_try = first_tries.elapsed(requested_timeout);
    new_call.is_resend_ = elapsed_since_first_try >= caller_retry_threshold;
    new_call.objective_ = new_call.arrival_ + route->objective_ - elapsed_since_first_try;
    return new_call;
}

caller_server::exchange* caller_server::find(call_id call)
{
    const auto found = exchanges_.find(call);
    return found == exchanges_.end() ? nullptr : found->second.get();
}

const outgoing_request* caller_server::request_of(call_id call)
{
    const auto* current = find(call);
    return current == nullptr ? nullptr : &current->outgoing_;
}

void caller_server::reject(call_id call, const problem& why)
{
    auto* current = find(call);
    if (current == nullptr) {
        return;
    }
    current->answered_ = true;
    send_problem(current->connection_, why, current->outgoing_.request_id_);
}

void caller_server::relay(call_id call, attempt_id attempt)
{
    auto* current = find(call);
    if (current == nullptr) {
        return;
    }
    current->relayed_attempt_ = attempt;
    const auto& response = pool_->response(attempt);
    const std::string connection_value = find_header(response.headers_, "Connection").value_or("");
    response_start start{response.status_, response.reason_, {}, std::nullopt, false};
    bool id_echoed = false;
    for (const auto& [name, value] : response.headers_) {
        // Only nodes of the fleet may state a verdict; an upstream that did would speak in their name.
        const bool forged = same_header(name, verdict_header) && !pool_->sent_to_peer(attempt);
        if (!is_hop_by_hop(name, connection_value) && !same_header(name, "Content-Length") && !forged) {
            id_echoed = id_echoed || same_header(name, names_.request_id_);
            start.headers_.emplace_back(name, value);
        }
    }
    if (!id_echoed) {
        start.headers_.emplace_back(names_.request_id_, current->outgoing_.request_id_);
    }
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    start.no_body_ = current->outgoing_.method_ == "HEAD" || response.status_ == no_content ||
                     response.status_ == not_modified;
    start.length_ = pool_->response_length(attempt);
    if (response.status_ == no_content) {
        start.length_ = std::nullopt;
    }
    if (current->large_) {
        current->connection_.join_group(large_responses_);
    }
    current->connection_.start_response(start);
}

bool caller_server::on_body(call_id call, evbuffer* bytes)
{
    auto* current = find(call);
    if (current == nullptr) {
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
        return true;
    }
    current->relayed_bytes_ += evbuffer_get_length(bytes);
    current->connection_.add_body(bytes);
    current->paused_ = current->connection_.unsent_bytes() > body_limit();
    counters_.response_pauses_ += current->paused_ ? 1 : 0;
    return !current->paused_;
}

void caller_server::on_body_end(call_id call)
{
    auto* current = find(call);
    if (current != nullptr && !current->answered_) {
        current->answered_ = true;
        current->connection_.end_response();
    }
}

void caller_server::on_output_flushed(caller_connection& to)
{
    const auto served = call_by_connection_.find(&to);
    auto* current = served == call_by_connection_.end() ? nullptr : find(served->second);
    if (current == nullptr) {
        return;
    }
    if (current->answered_) {
        remove(current->call_);
        return;
    }
    if (current->paused_) {
        current->paused_ = false;
        pool_->resume(current->relayed_attempt_);
    }
}

void caller_server::abort(call_id call)
{
    auto* current = find(call);
    if (current == nullptr) {
        return;
    }
    write_log(log_level::warning, "answer cut off before the end of its body",
              {{"request_id", current->outgoing_.request_id_}, {"body_bytes", current->relayed_bytes_}});
    caller_connection& connection = current->connection_;
    remove(call);
    connection.abort();
}

relay_progress caller_server::progress_of(call_id call) const
{
    const auto found = exchanges_.find(call);
    if (found == exchanges_.end()) {
        return {};
    }
    const auto& current = *found->second;
    return {current.relayed_bytes_, !current.answered_ && current.connection_.unsent_bytes() == 0};
}

void caller_server::on_closed(caller_connection& from)
{
    if (const auto served = call_by_connection_.find(&from); served != call_by_connection_.end()) {
        const call_id call = served->second;
        ++counters_.callers_gone_;
        write_log(log_level::info, "the caller went away",
                  {{"request_id", exchanges_.at(call)->outgoing_.request_id_},
                   {"answered", exchanges_.at(call)->answered_},
                   {"body_bytes", exchanges_.at(call)->relayed_bytes_}});
        remove(call);
        engine_->on_caller_gone(call);
    }
    const auto found = connections_.find(&from);
    std::shared_ptr<caller_connection> closed = std::move(found->second);
    connections_.erase(found);
    loop_.defer([closed] {});
    if (listener_ != nullptr && connections_.size() < limits_.max_connections_) {
        evconnlistener_enable(listener_);
    }
}

void caller_server::remove(call_id call)
{
    const auto found = exchanges_.find(call);
    if (found == exchanges_.end()) {
        return;
    }
    held_bytes_ -= found->second->body_bytes_;
    found->second->connection_.leave_group();
    call_by_connection_.erase(&found->second->connection_);
    exchanges_.erase(found);
}

} // namespace anvilpost
