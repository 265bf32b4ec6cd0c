// Implementation of the connection pool on libevent bufferevents, with the reuse rules that ensure that a
// response is never assigned to another request.
#include "adapters/http/upstream_pool.h"

#include "adapters/http/http_fetch.h"
#include "adapters/http/outgoing_request.h"
#include "adapters/logging/json_log.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace anvilpost {
namespace {

constexpr duration sweep_period = std::chrono::milliseconds(500);

/// Time between two checks whether a response that ended with its connection is whole.
constexpr duration end_check_period = std::chrono::milliseconds(5);

/// Share of the idle timeout announced by an upstream (Keep-Alive header) during which a connection is
/// reused. Later, a request could be sent just as the upstream closes the connection.
constexpr double usable_idle_timeout_share = 0.7;

} // namespace

upstream_pool::upstream_pool(event_loop& loop, const clock_port& clock, const upstream_pool_limits& limits,
                             const header_names& names)
    : loop_(loop), clock_(clock), limits_(limits), names_(names),
      sweep_timer_(loop, [this] { close_expired_connections(); })
{
    sweep_timer_.start(sweep_period);
}

upstream_pool::~upstream_pool() = default;

void upstream_pool::connect(call_engine& engine, response_sink& sink, request_source& source)
{
    engine_ = &engine;
    sink_ = &sink;
    source_ = &source;
}

upstream_pool::attempt* upstream_pool::find(attempt_id id)
{
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : found->second.get();
}

upstream_pool::connection_ptr upstream_pool::open_connection(const attempt_order& order)
{
    std::string address = order.ip_ + ":" + std::to_string(order.port_);
    evict_idle_connections(address, order.connection_limit_);
    ++counters_.connections_opened_;
    counters_.most_open_ =
        std::max(counters_.most_open_, static_cast<std::uint64_t>(++open_connections_[address]));
    auto opened = std::make_unique<connection>(connection{*this, std::move(address)});
    opened->stream_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        opened->stream_.get(),
        [](bufferevent*, void* arg) {
            auto* from = static_cast<connection*>(arg);
            from->pool_.on_input(*from);
        },
        nullptr,
        [](bufferevent*, short what, void* arg) {
            auto* from = static_cast<connection*>(arg);
            from->pool_.on_event(*from, what);
        },
        opened.get());
    evbuffer_add_cb(
        bufferevent_get_output(opened->stream_.get()),
        [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
            static_cast<connection*>(arg)->bytes_written_ += info->n_deleted;
        },
        opened.get());
    bufferevent_setwatermark(opened->stream_.get(), EV_READ, 0, limits_.response_high_water_);
    sockaddr_storage address_bytes{};
    const int length = to_socket_address(order.ip_, order.port_, address_bytes);
    const timeval connect_timeout = to_timeval(limits_.connect_timeout_);
    bufferevent_set_timeouts(opened->stream_.get(), nullptr, &connect_timeout);
    if (bufferevent_socket_connect(opened->stream_.get(), reinterpret_cast<sockaddr*>(&address_bytes),
                                   length) == 0) {
        const int no_delay = 1;
        setsockopt(bufferevent_getfd(opened->stream_.get()), IPPROTO_TCP, TCP_NODELAY, &no_delay,
                   sizeof no_delay);
    }
    bufferevent_enable(opened->stream_.get(), EV_READ | EV_WRITE);
    return opened;
}

/// Closes idle connections, the least recently used first, until one more fits within the limit.
void upstream_pool::evict_idle_connections(const std::string& address, int limit)
{
    auto& idle = idle_[address];
    while (!idle.empty() && open_connections_[address] >= limit) {
        connection_ptr oldest = std::move(idle.front());
        idle.pop_front();
        close_connection(std::move(oldest));
    }
}

bool upstream_pool::reusable(const connection& idle) const
{
    if (evbuffer_get_length(bufferevent_get_input(idle.stream_.get())) > 0 ||
        evbuffer_get_length(bufferevent_get_output(idle.stream_.get())) > 0) {
        return false;
    }
    char byte = 0;
    const auto peeked =
        recv(bufferevent_getfd(idle.stream_.get()), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Returns the earliest last use of an idle connection that may carry a request of that need.
time_point upstream_pool::oldest_reusable(connection_need need) const
{
    return clock_.now() -
           (need == connection_need::any ? limits_.max_idle_time_ : limits_.recent_response_max_age_);
}

bool upstream_pool::has_idle_connection(const std::string& ip, std::uint16_t port, connection_need need) const
{
    const auto idle = idle_.find(ip + ":" + std::to_string(port));
    if (need == connection_need::fresh || idle == idle_.end() || idle->second.empty()) {
        return false;
    }
    const auto& last = *idle->second.back();
    return last.last_used_ >= oldest_reusable(need) && last.expires_ > clock_.now();
}

upstream_pool::connection_ptr upstream_pool::take_connection(const attempt_order& order)
{
    if (order.connection_ == connection_need::fresh) {
        return open_connection(order);
    }
    const auto now = clock_.now();
    const auto oldest_allowed = oldest_reusable(order.connection_);
    auto& idle = idle_[order.ip_ + ":" + std::to_string(order.port_)];
    while (!idle.empty() && idle.back()->last_used_ >= oldest_allowed) {
        connection_ptr candidate = std::move(idle.back());
        idle.pop_back();
        candidate->idle_ = false;
        if (candidate->expires_ <= now) {
            close_connection(std::move(candidate));
            continue;
        }
        if (reusable(*candidate)) {
            ++counters_.connections_reused_;
            return candidate;
        }
        ++counters_.surplus_responses_;
        close_connection(std::move(candidate));
    }
    return open_connection(order);
}

void upstream_pool::start(const attempt_order& order)
{
    const outgoing_request* request = source_->request_of(order.call_);
    if (request == nullptr) {
        loop_.defer(
            [this, id = order.attempt_] { engine_->on_attempt_ended(id, attempt_outcome::not_sent); });
        return;
    }
    auto owned = std::make_unique<attempt>(attempt{order});
    attempt& current = *owned;
    current.request_id_ = request->request_id_;
    current.head_request_ = request->method_ == "HEAD";
    current.connection_ = take_connection(order);
    current.on_new_connection_ = current.connection_->last_used_ == time_point{};
    current.connection_->bytes_written_ = 0;
    current.connection_->attempt_ = order.attempt_;
    current.reader_ = std::make_unique<message_reader>(message_side::response, limits_.max_header_bytes_,
                                                       current.head_request_);
    attempts_[order.attempt_] = std::move(owned);
    write_request(current, *request);
}

void upstream_pool::write_request(attempt& current, const outgoing_request& request)
{
    const auto& order = current.order_;
    const std::string connection_value = find_header(request.headers_, "Connection").value_or("");
    std::string head = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
    const auto add = [&head](const std::string& name, const std::string& value) {
        head += name + ": " + value + "\r\n";
    };
    for (const auto& [name, value] : request.headers_) {
        const bool not_copied =
            is_hop_by_hop(name, connection_value) || same_header(name, "Content-Length") ||
            same_header(name, names_.time_left_) || same_header(name, names_.request_id_) ||
            same_header(name, names_.expected_instance_) || same_header(name, forwarded_attempts_header) ||
            same_header(name, forwarded_revision_header) || same_header(name, key_digest_header);
        if (!not_copied) {
            add(name, value);
        }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(order.time_left_).count();
    add(names_.time_left_, std::to_string(std::max<std::int64_t>(1, left)));
    if (!request.request_id_.empty()) {
        add(names_.request_id_, request.request_id_);
    }
    if (order.to_peer_) {
        add(forwarded_attempts_header, std::to_string(order.attempts_left_));
        add(forwarded_revision_header, std::to_string(order.configuration_revision_));
        if (!request.key_digest_.empty()) {
            add(key_digest_header, request.key_digest_);
        }
    }
    else if (!names_.expected_instance_.empty()) {
        add(names_.expected_instance_, order.upstream_);
    }
    if (!order.to_peer_ && !request.organisation_.empty()) {
        add(names_.organisation_, request.organisation_);
    }
    if (!names_.via_.empty()) {
        add(names_.via_, "1.1 anvilpost");
    }
    const std::size_t body_bytes = request.body_ == nullptr ? 0 : evbuffer_get_length(request.body_);
    if (request.has_body_ || body_bytes > 0) {
        add("Content-Length", std::to_string(body_bytes));
    }
    head += "\r\n";
    evbuffer* output = bufferevent_get_output(current.connection_->stream_.get());
    evbuffer_add(output, head.data(), head.size());
    if (body_bytes > 0) {
        evbuffer_add_buffer_reference(output, request.body_);
    }
}

void upstream_pool::on_input(connection& from)
{
    if (from.idle_) {
        ++counters_.surplus_responses_;
        close_idle_connection_later(from);
        return;
    }
    if (auto* current = find(from.attempt_)) {
        receive_response(*current, receive_state::open);
    }
}

bool upstream_pool::connected_despite_timeout(const connection& from)
{
    if (from.connected_) {
        return false;
    }
    pollfd socket{bufferevent_getfd(from.stream_.get()), POLLOUT, 0};
    return poll(&socket, 1, 0) == 1 && socket.revents == POLLOUT;
}

void upstream_pool::on_event(connection& from, short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        from.connected_ = true;
        bufferevent_set_timeouts(from.stream_.get(), nullptr, nullptr);
        return;
    }
    if ((what & BEV_EVENT_TIMEOUT) != 0 && connected_despite_timeout(from)) {
        // The event loop ran late and handles the timeout before the event of a connection that was
        // established in time. Not a failure: wait for that event.
        const timeval connect_timeout = to_timeval(limits_.connect_timeout_);
        bufferevent_set_timeouts(from.stream_.get(), nullptr, &connect_timeout);
        bufferevent_enable(from.stream_.get(), EV_READ | EV_WRITE);
        return;
    }
    if (from.idle_) {
        close_idle_connection_later(from);
        return;
    }
    auto* current = find(from.attempt_);
    if (current == nullptr) {
        return;
    }
    if (!from.connected_) {
        ++counters_.connect_failures_;
        fail(from.attempt_);
        return;
    }
    if ((what & BEV_EVENT_EOF) != 0) {
        receive_response(*current, receive_state::closed);
        return;
    }
    // An upstream that refuses an upload may send its response and reset the connection.
    receive_remaining_input(from.stream_.get(), limits_.response_high_water_);
    receive_response(*current, receive_state::reset);
}

/// Parses the available bytes of the response. May fail the attempt or schedule its end.
void upstream_pool::receive_response(attempt& current, receive_state from_upstream)
{
    if (current.state_ != response_state::receiving) {
        return; // Its end is reported after this round of events.
    }
    const attempt_id id = current.order_.attempt_;
    while (true) {
        const auto outcome =
            read_response(*current.reader_, current.connection_->stream_.get(), from_upstream);
        if (outcome == read_status::malformed || outcome == read_status::head_too_large) {
            counters_.unreadable_responses_ += current.reader_->started() ? 1 : 0;
            fail(id);
            return;
        }
        if (!current.reader_->head_complete()) {
            return;
        }
        if (outcome == read_status::complete && skip_message(current)) {
            continue;
        }
        if (outcome == read_status::more && current.reader_->head().close_delimited_ &&
            names_.always_framed_) {
            fail(id);
            return;
        }
        if (outcome == read_status::complete) {
            current.state_ = response_state::complete;
        }
        else if (from_upstream == receive_state::closed) {
            check_end_later(current);
        }
        break;
    }
    forward_response_when_due(current);
    auto* remaining = find(id);
    if (remaining != nullptr && remaining->forwarding_started_ &&
        remaining->state_ == response_state::complete) {
        sink_->on_body_end(remaining->order_.call_);
        loop_.defer([this, id] { report_end(id, attempt_outcome::complete); });
    }
}

/// The upstream has closed its side during the upload.
void upstream_pool::check_end_later(attempt& current)
{
    if (!current.end_timer_) {
        current.end_timer_ = std::make_unique<timer>(loop_, [this, id = current.order_.attempt_] {
            if (auto* open = find(id)) {
                receive_response(*open, receive_state::closed);
            }
        });
    }
    current.end_timer_->start(end_check_period);
}

/// Skips the current message if it is not this request's final response: an interim response (RFC 9110,
/// section 15.2) or the response to another request. Returns true when it was skipped.
bool upstream_pool::skip_message(attempt& current)
{
    const auto& head = current.reader_->head();
    const auto echoed = find_header(head.headers_, names_.request_id_);
    const bool interim = head.status_ < first_final_status;
    const bool foreign = names_.responses_echo_ids_ && echoed && *echoed != current.request_id_;
    if (!interim && !foreign) {
        return false;
    }
    counters_.foreign_responses_ += foreign ? 1 : 0;
    if (foreign) {
        // Further foreign responses may follow on this connection; it is closed after this request.
        current.connection_->not_reusable_ = true;
        write_log(log_level::warning, "passed over the answer to another request",
                  {{"request_id", current.request_id_}, {"upstream", current.order_.upstream_}});
    }
    current.reader_ = std::make_unique<message_reader>(message_side::response, limits_.max_header_bytes_,
                                                       current.head_request_);
    return true;
}

void upstream_pool::forward_response_when_due(attempt& current)
{
    if (current.forwarding_started_) {
        forward_response(current);
        return;
    }
    const auto echoed = find_header(current.reader_->head().headers_, names_.request_id_);
    const bool foreign = names_.responses_echo_ids_ && echoed && *echoed != current.request_id_;
    if (current.state_ == response_state::complete ||
        (!foreign && current.reader_->body_bytes_seen() >=
                         std::min(limits_.max_held_response_bytes_, sink_->body_limit()))) {
        forward_response(current);
        return;
    }
    if (!current.hold_timer_ && !foreign) {
        current.hold_timer_ = std::make_unique<timer>(loop_, [this, id = current.order_.attempt_] {
            if (auto* held = find(id);
                held != nullptr && !held->forwarding_started_ && held->reader_->head_complete()) {
                forward_response(*held);
            }
        });
        current.hold_timer_->start(limits_.max_response_hold_time_);
    }
}

/// A response of another node: its own problems tell whether the request ran. Load and limits that an
/// upstream reported through it are of use to that node only.
response_head upstream_pool::peer_response_head(const message_head& head)
{
    response_head converted;
    converted.status_ = head.status_;
    converted.not_run_ = find_header(head.headers_, verdict_header) == name_of(verdict::not_run);
    return converted;
}

response_head upstream_pool::to_response_head(const message_head& head) const
{
    response_head converted;
    converted.status_ = head.status_;
    converted.misdirected_ = !names_.expected_instance_.empty() && head.status_ == names_.misdirected_status_;
    converted.not_run_ = converted.misdirected_ || (!names_.not_run_.empty() &&
                                                    find_header(head.headers_, names_.not_run_).has_value());
    converted.self_ = parse_self_report(head.headers_, head.status_, names_);
    return converted;
}

/// Reports the response to the engine the first time, then delivers the body bytes read so far.
void upstream_pool::forward_response(attempt& current)
{
    const attempt_id id = current.order_.attempt_;
    if (!current.forwarding_started_) {
        current.forwarding_started_ = true;
        const auto& message = current.reader_->head();
        auto head = current.order_.to_peer_ ? peer_response_head(message) : to_response_head(message);
        head.on_new_connection_ = current.on_new_connection_;
        engine_->on_response_started(id, head);
        if (find(id) == nullptr) {
            return; // The engine chose another attempt and cancelled this one.
        }
    }
    evbuffer* body = current.reader_->body();
    // A connection whose response is complete must go on reading: it will be used again.
    if (evbuffer_get_length(body) > 0 && !sink_->on_body(current.order_.call_, body) &&
        current.state_ == response_state::receiving) {
        pause(id);
    }
}

void upstream_pool::fail(attempt_id id)
{
    auto* failed = find(id);
    if (failed == nullptr || failed->state_ != response_state::receiving) {
        return;
    }
    failed->state_ = response_state::failed;
    if (failed->hold_timer_) {
        // It may be due in this round of events, before the end is reported, and would forward what arrived.
        failed->hold_timer_->stop();
    }
    const bool unsent = failed->connection_->bytes_written_ == 0;
    const auto outcome = failed->forwarding_started_ ? attempt_outcome::broken_answer
                         : unsent                    ? attempt_outcome::not_sent
                                                     : attempt_outcome::broken;
    loop_.defer([this, id, outcome] { report_end(id, outcome); });
}

void upstream_pool::report_end(attempt_id id, attempt_outcome outcome)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    attempts_.erase(found);
    keep_or_close_connection(std::move(ended->connection_),
                             outcome == attempt_outcome::complete ? &ended->reader_->head() : nullptr,
                             ended->order_.connection_limit_);
    engine_->on_attempt_ended(id, outcome);
}

/// Calls neither the engine nor the sink and destroys the connection later, so it may be called from
/// inside any event.
void upstream_pool::cancel(attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    std::shared_ptr<attempt> cancelled = std::move(found->second);
    attempts_.erase(found);
    cancelled->connection_->attempt_ = attempt_id{};
    if (cancelled->state_ == response_state::complete && cancelled->forwarding_started_) {
        // The response arrived completely and is merely not needed; the connection can be reused.
        loop_.defer([this, cancelled] {
            keep_or_close_connection(std::move(cancelled->connection_), &cancelled->reader_->head(),
                                     cancelled->order_.connection_limit_);
        });
        return;
    }
    bufferevent_disable(cancelled->connection_->stream_.get(), EV_READ | EV_WRITE);
    loop_.defer([this, cancelled] { close_connection(std::move(cancelled->connection_)); });
}

void upstream_pool::pause(attempt_id id)
{
    if (auto* current = find(id)) {
        current->paused_ = true;
        bufferevent_disable(current->connection_->stream_.get(), EV_READ);
    }
}

void upstream_pool::resume(attempt_id id)
{
    auto* current = find(id);
    if (current == nullptr || !current->paused_) {
        return;
    }
    current->paused_ = false;
    bufferevent_enable(current->connection_->stream_.get(), EV_READ);
}

const message_head& upstream_pool::response(attempt_id id) const
{
    return attempts_.at(id)->reader_->head();
}

std::optional<std::uint64_t> upstream_pool::response_length(attempt_id id) const
{
    const auto& current = *attempts_.at(id);
    if (current.state_ == response_state::complete && !current.head_request_) {
        return evbuffer_get_length(current.reader_->body());
    }
    const auto framed = parse_framing(current.reader_->head().headers_);
    return framed ? framed->content_length_ : std::nullopt;
}

void upstream_pool::keep_or_close_connection(connection_ptr used, const message_head* response, int limit)
{
    const bool may_keep = response != nullptr && response->keep_alive_ && !response->close_delimited_;
    if (!may_keep || used->not_reusable_ || !reusable(*used) || open_connections_[used->address_] > limit) {
        close_connection(std::move(used));
        return;
    }
    const auto now = clock_.now();
    used->last_used_ = now;
    used->expires_ = now + limits_.max_idle_time_;
    if (const auto announced = parse_keep_alive(response->headers_)) {
        const duration idle_time = *announced;
        used->expires_ = std::min(
            used->expires_, now + duration(static_cast<duration::rep>(static_cast<double>(idle_time.count()) *
                                                                      usable_idle_timeout_share)));
    }
    used->attempt_ = attempt_id{};
    used->idle_ = true;
    auto& idle = idle_[used->address_];
    idle.push_back(std::move(used));
    idle.back()->idle_position_ = std::prev(idle.end());
}

/// Updates the count of open connections; the connection itself closes when `closing` goes out of scope.
void upstream_pool::close_connection(connection_ptr closing)
{
    --open_connections_[closing->address_];
}

/// Removes an idle connection from the pool; may be called from inside one of its own events, so the
/// connection is destroyed later.
void upstream_pool::close_idle_connection_later(connection& idle)
{
    std::shared_ptr<connection> owned = std::move(*idle.idle_position_);
    idle_[idle.address_].erase(idle.idle_position_);
    idle.idle_ = false;
    bufferevent_disable(idle.stream_.get(), EV_READ | EV_WRITE);
    loop_.defer([this, owned] { --open_connections_[owned->address_]; });
}

void upstream_pool::close_expired_connections()
{
    const auto now = clock_.now();
    for (auto& [unused, idle] : idle_) {
        while (!idle.empty() && idle.front()->expires_ <= now) {
            connection_ptr old = std::move(idle.front());
            idle.pop_front();
            close_connection(std::move(old));
        }
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(open_connections_, [](const auto& entry) { return entry.second == 0; });
    sweep_timer_.start(sweep_period);
}

} // namespace anvilpost
