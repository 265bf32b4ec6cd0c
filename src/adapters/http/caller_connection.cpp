// Implementation of the caller's connection on a libevent bufferevent: request parsing, response framing,
// timeouts and orderly or abrupt closing.
#include "adapters/http/caller_connection.h"

#include "adapters/logging/json_log.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Read buffer limit. While a request is served, further input is read up to this size, so that the
/// caller's close is noticed.
constexpr std::size_t read_ahead_bytes = 64UL * 1024;

/// Time for a caller to read the last response before the connection is closed, which may reset it.
constexpr duration linger_timeout = 1s;

/// By then some of the requests that are arriving are complete.
constexpr std::chrono::milliseconds retry_after_without_memory = 1s;

problem malformed(std::string detail)
{
    return {problem_kind::malformed_request, verdict::not_run, std::move(detail), std::nullopt};
}

} // namespace

caller_connection::caller_connection(const event_loop& loop, const clock_port& clock,
                                     const caller_connection_limits& limits, arriving_memory& memory,
                                     unsent_memory& unsent, int socket, caller_connection_events& events)
    : clock_(clock), connection_limits_(limits), memory_(memory), unsent_(unsent), events_(events),
      stream_(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      reader_(std::make_unique<message_reader>(message_side::request, limits.max_header_bytes_)),
      last_progress_at_(clock.now())
{
    const int no_delay = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
    bufferevent_setcb(
        stream_, [](bufferevent*, void* arg) { static_cast<caller_connection*>(arg)->on_input(); },
        [](bufferevent*, void* arg) { static_cast<caller_connection*>(arg)->on_output(); },
        [](bufferevent*, short what, void* arg) { static_cast<caller_connection*>(arg)->on_event(what); },
        this);
    evbuffer_add_cb(
        bufferevent_get_output(stream_),
        [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
            static_cast<caller_connection*>(arg)->on_output_changed(info->n_added, info->n_deleted);
        },
        this);
    bufferevent_setwatermark(stream_, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
}

caller_connection::~caller_connection()
{
    leave_group();
    unsent_.add(0, unsent_bytes());
    bufferevent_free(stream_);
}

void caller_connection::join_group(large_response_group& group)
{
    if (!membership_) {
        membership_.emplace(group, stream_);
    }
}

/// Called at each change of the output. Writing a part of it is progress, too: a large response is written in
/// parts over a long time.
void caller_connection::on_output_changed(std::size_t added, std::size_t removed)
{
    unsent_.add(added, removed);
    if (removed > 0) {
        last_progress_at_ = clock_.now();
    }
}

bool caller_connection::idle() const
{
    return state_ == state::receiving && !reader_->started() &&
           evbuffer_get_length(bufferevent_get_input(stream_)) == 0;
}

std::size_t caller_connection::unsent_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_));
}

std::size_t caller_connection::arriving_bytes() const
{
    return state_ == state::receiving
               ? evbuffer_get_length(reader_->body()) + evbuffer_get_length(bufferevent_get_input(stream_))
               : 0;
}

void caller_connection::count_arriving_bytes()
{
    const auto now = arriving_bytes();
    memory_.used_bytes_ = memory_.used_bytes_ - counted_bytes_ + now;
    counted_bytes_ = now;
}

void caller_connection::on_input()
{
    last_progress_at_ = clock_.now();
    switch (state_) {
    case state::receiving: receive(); return;
    case state::serving: return;
    case state::lingering:
    case state::closed:
        evbuffer_drain(bufferevent_get_input(stream_), evbuffer_get_length(bufferevent_get_input(stream_)));
        return;
    }
}

void caller_connection::receive()
{
    if (!reader_->started()) {
        first_byte_received_at_ = clock_.now();
    }
    const auto outcome = reader_->feed(bufferevent_get_input(stream_));
    switch (outcome) {
    case read_status::more: break;
    case read_status::complete:
        state_ = state::serving;
        count_arriving_bytes();
        if (!reader_->head().keep_alive_) {
            close_after_response_ = true;
        }
        events_.on_request(*this);
        return;
    case read_status::malformed: refuse(problem_kind::malformed_request, "the request is malformed"); return;
    case read_status::head_too_large: refuse(problem_kind::header_too_large, "the head is too large"); return;
    }
    count_arriving_bytes();
    if (memory_.used_bytes_ > memory_.max_bytes_) {
        refuse(problem_kind::memory_exhausted, "too many requests are arriving", retry_after_without_memory);
        return;
    }
    if (!reader_->head_complete()) {
        return;
    }
    const auto length = find_header(reader_->head().headers_, "Content-Length");
    const bool announced_body_too_large =
        length && parse_framing(reader_->head().headers_) &&
        parse_framing(reader_->head().headers_)->content_length_.value_or(0) >
            connection_limits_.max_body_bytes_;
    if (announced_body_too_large || reader_->body_bytes_seen() > connection_limits_.max_body_bytes_) {
        refuse(problem_kind::body_too_large, "the body is too large");
        return;
    }
    const auto expected = find_header(reader_->head().headers_, "Expect");
    if (expected && same_header(*expected, "100-continue") && !sent_100_continue_) {
        sent_100_continue_ = true;
        constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(stream_, continue_response.data(), continue_response.size());
    }
}

void caller_connection::refuse(problem_kind kind, std::string detail,
                               std::optional<std::chrono::milliseconds> retry_after)
{
    state_ = state::serving;
    close_after_response_ = true;
    evbuffer_drain(reader_->body(), evbuffer_get_length(reader_->body()));
    count_arriving_bytes();
    auto why = malformed(std::move(detail));
    why.kind_ = kind;
    why.retry_after_ = retry_after;
    events_.on_bad_request(*this, why);
}

void caller_connection::start_response(const response_start& start)
{
    if (state_ != state::serving || response_started_) {
        return;
    }
    response_started_ = true;
    last_progress_at_ = clock_.now();
    response_without_body_ = start.no_body_;
    chunked_response_ = !start.length_ && !start.no_body_;
    std::string head = "HTTP/1.1 " + std::to_string(start.status_) + " " + start.reason_ + "\r\n";
    for (const auto& [name, value] : start.headers_) {
        head += name + ": " + value + "\r\n";
    }
    if (start.length_) {
        head += "Content-Length: " + std::to_string(*start.length_) + "\r\n";
    }
    if (chunked_response_ && reader_->head().http_1_1_) {
        head += "Transfer-Encoding: chunked\r\n";
    }
    else if (chunked_response_) {
        chunked_response_ =
            false; // HTTP/1.0 has no chunked coding; the close of the connection ends the body.
        close_after_response_ = true;
    }
    if (close_after_response_) {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    bufferevent_write(stream_, head.data(), head.size());
}

void caller_connection::add_body(evbuffer* bytes)
{
    const auto count = evbuffer_get_length(bytes);
    if (state_ != state::serving || response_without_body_ || count == 0) {
        evbuffer_drain(bytes, count);
        return;
    }
    evbuffer* output = bufferevent_get_output(stream_);
    if (chunked_response_) {
        evbuffer_add_printf(output, "%zx\r\n", count);
    }
    evbuffer_add_buffer(output, bytes);
    if (chunked_response_) {
        evbuffer_add(output, "\r\n", 2);
    }
}

void caller_connection::end_response()
{
    if (state_ != state::serving || response_ended_) {
        return;
    }
    response_ended_ = true;
    if (chunked_response_) {
        constexpr std::string_view last_chunk = "0\r\n\r\n";
        bufferevent_write(stream_, last_chunk.data(), last_chunk.size());
    }
}

void caller_connection::on_output()
{
    if (state_ == state::closed) {
        return;
    }
    last_progress_at_ = clock_.now();
    if (state_ != state::serving || !response_started_) {
        return;
    }
    const bool ended = response_ended_;
    events_.on_output_flushed(*this);
    if (!ended || state_ != state::serving) {
        return;
    }
    if (close_after_response_) {
        start_lingering();
        return;
    }
    next_request();
}

void caller_connection::next_request()
{
    state_ = state::receiving;
    response_started_ = false;
    response_ended_ = false;
    sent_100_continue_ = false;
    reader_ = std::make_unique<message_reader>(message_side::request, connection_limits_.max_header_bytes_);
    if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
        receive();
        return;
    }
    if (caller_half_closed_) {
        close();
    }
}

/// Closes only the sending direction and waits for the caller's close: closing with unread input would
/// reset the connection, and the caller could lose the response.
void caller_connection::start_lingering()
{
    state_ = state::lingering;
    last_progress_at_ = clock_.now();
    shutdown(bufferevent_getfd(stream_), SHUT_WR);
    if (caller_half_closed_) {
        close();
    }
}

void caller_connection::on_event(short what)
{
    const bool failed = (what & BEV_EVENT_ERROR) != 0;
    const bool ended = (what & BEV_EVENT_EOF) != 0;
    if (state_ == state::closed || (!failed && !ended)) {
        return;
    }
    const bool pipelined_input_pending = evbuffer_get_length(bufferevent_get_input(stream_)) > 0;
    if (ended && state_ == state::serving && (pipelined_input_pending || response_ended_)) {
        caller_half_closed_ = true;
        return;
    }
    close();
}

void caller_connection::close()
{
    if (state_ == state::closed) {
        return;
    }
    state_ = state::closed;
    count_arriving_bytes();
    bufferevent_disable(stream_, EV_READ | EV_WRITE);
    events_.on_closed(*this);
}

void caller_connection::close_if_idle()
{
    if (idle()) {
        close();
    }
}

void caller_connection::abort()
{
    // connect() to AF_UNSPEC resets a TCP connection at once. An orderly close could make a cut-off
    // response look complete.
    const sockaddr unspecified_address{AF_UNSPEC, {}};
    if (connect(bufferevent_getfd(stream_), &unspecified_address, sizeof unspecified_address) != 0) {
        write_log(log_level::warning, "could not reset a caller's connection", {{"errno", errno}});
    }
    close();
}

void caller_connection::enforce_timeouts()
{
    const auto time_without_progress = clock_.now() - last_progress_at_;
    switch (state_) {
    case state::receiving:
        if (!reader_->started()) {
            if (time_without_progress > connection_limits_.idle_timeout_) {
                close();
            }
        }
        else if ((!reader_->head_complete() &&
                  clock_.now() - first_byte_received_at_ > connection_limits_.header_timeout_) ||
                 time_without_progress > connection_limits_.idle_timeout_) {
            refuse(problem_kind::request_timeout, "the request did not arrive in time");
        }
        return;
    case state::serving:
        if (unsent_bytes() > 0 && time_without_progress > connection_limits_.idle_timeout_) {
            abort();
        }
        return;
    case state::lingering:
        if (time_without_progress > linger_timeout) {
            close();
        }
        return;
    case state::closed: return;
    }
}

} // namespace anvilpost
