// evhttp client connections and the reuse rules that keep answers with their own requests.
#include "adapters/http/upstream_pool.h"

#include "adapters/http/evhttp_headers.h"
#include "adapters/http/outgoing_request.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

namespace anvilpost {
namespace {

constexpr duration sweep_period = std::chrono::milliseconds(500);
constexpr int no_content = 204;
constexpr int not_modified = 304;

bool answer_has_no_body(int status, bool head_request)
{
    return head_request || status == no_content || status == not_modified || status < 200;
}

} // namespace

upstream_pool::upstream_pool(event_loop& loop, const clock_port& clock, upstream_pool_limits limits)
    : loop_(loop), clock_(clock), limits_(limits), sweep_(loop, [this] { close_old_idle_connections(); })
{
    sweep_.start(sweep_period);
}

upstream_pool::~upstream_pool()
{
    for (auto& [unused, current] : attempts_) {
        evhttp_connection_free(current->connection_->handle_);
    }
    for (auto& [unused, connections] : idle_) {
        for (auto& idle : connections) {
            evhttp_connection_set_closecb(idle->handle_, nullptr, nullptr);
            evhttp_connection_free(idle->handle_);
        }
    }
}

void upstream_pool::connect(call_engine& engine, answer_sink& sink, request_source& source)
{
    engine_ = &engine;
    sink_ = &sink;
    source_ = &source;
}

upstream_pool::connection_ptr upstream_pool::open_connection(const attempt_order& order)
{
    const std::string address = order.ip_ + ":" + std::to_string(order.port_);
    make_room(address, order.connection_limit_);
    ++counters_.connections_opened_;
    counters_.most_open_ = std::max(counters_.most_open_, static_cast<std::uint64_t>(++open_[address]));
    auto opened = std::make_unique<connection>(connection{
        *this, order.ip_ + ":" + std::to_string(order.port_), nullptr, clock_.now(), 0, false, {}});
    opened->handle_ = evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr,
                                                             order.ip_.c_str(), order.port_);
    evhttp_connection_set_max_headers_size(opened->handle_,
                                           static_cast<ev_ssize_t>(limits_.max_header_bytes_));
    const timeval silence = to_timeval(limits_.body_idle_timeout_);
    evhttp_connection_set_timeout_tv(opened->handle_, &silence);
    bufferevent* stream = evhttp_connection_get_bufferevent(opened->handle_);
    evbuffer_add_cb(
        bufferevent_get_output(stream),
        [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
            static_cast<connection*>(arg)->bytes_written_ += info->n_deleted;
        },
        opened.get());
    evbuffer_add_cb(
        bufferevent_get_input(stream),
        [](evbuffer* input, const evbuffer_cb_info*, void* arg) {
            auto* owner = static_cast<connection*>(arg);
            if (evbuffer_get_length(input) > owner->pool_.limits_.max_chunk_bytes_) {
                owner->pool_.loop_.defer(
                    [pool = &owner->pool_, id = owner->attempt_] { pool->fail_oversized(id); });
            }
        },
        opened.get());
    evhttp_connection_set_closecb(
        opened->handle_,
        [](evhttp_connection*, void* arg) {
            auto* owner = static_cast<connection*>(arg);
            owner->closed_ = true;
            owner->pool_.forget_closed(owner);
        },
        opened.get());
    return opened;
}

/// Closes idle connections, the oldest first, so that one more stays within the limit.
void upstream_pool::make_room(const std::string& address, int limit)
{
    auto& idle = idle_[address];
    while (!idle.empty() && open_[address] >= limit) {
        connection_ptr oldest = std::move(idle.front());
        idle.pop_front();
        retire(std::move(oldest));
    }
}

bool upstream_pool::reusable(const connection& idle) const
{
    bufferevent* stream = evhttp_connection_get_bufferevent(idle.handle_);
    if (idle.closed_ || evbuffer_get_length(bufferevent_get_input(stream)) > 0) {
        return false;
    }
    char byte = 0;
    const auto peeked = recv(bufferevent_getfd(stream), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

upstream_pool::connection_ptr upstream_pool::take_connection(const attempt_order& order)
{
    if (order.connection_ == connection_need::fresh) {
        return open_connection(order);
    }
    const auto oldest_allowed =
        clock_.now() - (order.connection_ == connection_need::any ? limits_.idle_life_ : limits_.proof_life_);
    auto& idle = idle_[order.ip_ + ":" + std::to_string(order.port_)];
    while (!idle.empty() && idle.back()->last_used_ >= oldest_allowed) {
        connection_ptr candidate = std::move(idle.back());
        idle.pop_back();
        if (reusable(*candidate)) {
            ++counters_.connections_reused_;
            return candidate;
        }
        ++counters_.surplus_answers_;
        retire(std::move(candidate));
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
    auto owned = std::make_unique<attempt>(attempt{*this,
                                                   order,
                                                   take_connection(order),
                                                   {},
                                                   0,
                                                   false,
                                                   false,
                                                   false,
                                                   request->command_ == EVHTTP_REQ_HEAD});
    attempt* current = owned.get();
    attempts_[order.attempt_] = std::move(owned);
    current->connection_->bytes_written_ = 0;
    current->connection_->attempt_ = order.attempt_;
    evhttp_request* message = evhttp_request_new(
        [](evhttp_request* answer, void* arg) {
            auto* done = static_cast<attempt*>(arg);
            done->pool_.on_done(*done, answer);
        },
        current);
    evhttp_request_set_header_cb(message, [](evhttp_request* answer, void* arg) {
        auto* started = static_cast<attempt*>(arg);
        return started->pool_.on_head(*started, answer);
    });
    evhttp_request_set_chunked_cb(message, [](evhttp_request* answer, void* arg) {
        auto* receiving = static_cast<attempt*>(arg);
        receiving->pool_.on_body(*receiving, answer);
    });
    copy_end_to_end_headers(request->headers_, message);
    evhttp_remove_header(evhttp_request_get_output_headers(message), timeout_header);
    evhttp_remove_header(evhttp_request_get_output_headers(message), request_id_header);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(order.time_left_).count();
    add_output_header(message, timeout_header, std::to_string(std::max<std::int64_t>(1, left)));
    add_output_header(message, request_id_header, request->request_id_);
    add_output_header(message, "Via", "1.1 anvilpost");
    if (request->body_ != nullptr) {
        evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(message), request->body_);
    }
    const int made = evhttp_make_request(current->connection_->handle_, message, request->command_,
                                         request->target_.c_str());
    if (made != 0) {
        loop_.defer([this, id = order.attempt_] { report_end(id, attempt_outcome::not_sent); });
    }
}

int upstream_pool::on_head(attempt& current, evhttp_request* answer)
{
    if (current.ended_) {
        return 0;
    }
    current.answer_headers_ = input_headers(answer);
    const int status = evhttp_request_get_response_code(answer);
    current.answer_status_ = status;
    const auto body = parse_framing(current.answer_headers_);
    const bool delimited = body && (body->chunked_ || body->content_length_);
    if (!body || (!delimited && !answer_has_no_body(status, current.head_request_))) {
        current.head_refused_ = true;
        return -1;
    }
    current.head_seen_ = true;
    answer_head head{status, find_header(current.answer_headers_, leaving_header).has_value(), std::nullopt};
    if (const auto report = find_header(current.answer_headers_, load_report_header)) {
        if (const auto in_flight = parse_reported_in_flight(*report)) {
            head.load_ = load_report{*in_flight};
        }
    }
    engine_->on_answer_started(current.order_.attempt_, head);
    return 0;
}

void upstream_pool::on_body(attempt& current, evhttp_request* answer)
{
    evbuffer* bytes = evhttp_request_get_input_buffer(answer);
    if (current.ended_) {
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
        return;
    }
    if (!sink_->on_body(current.order_.call_, bytes) && !current.ended_) {
        pause(current.order_.attempt_);
    }
}

void upstream_pool::on_done(attempt& current, evhttp_request* answer)
{
    if (current.ended_) {
        return;
    }
    const attempt_id id = current.order_.attempt_;
    const bool whole =
        answer != nullptr && evhttp_request_get_response_code(answer) != 0 && current.head_seen_;
    if (whole) {
        sink_->on_body_end(current.order_.call_);
        loop_.defer([this, id] { report_end(id, attempt_outcome::complete); });
        return;
    }
    const bool unsent = current.connection_->bytes_written_ == 0;
    const auto outcome = current.head_seen_ ? attempt_outcome::broken_answer
                         : unsent           ? attempt_outcome::not_sent
                                            : attempt_outcome::broken;
    loop_.defer([this, id, outcome] { report_end(id, outcome); });
}

void upstream_pool::report_end(attempt_id id, attempt_outcome outcome)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    auto ended = std::move(found->second);
    attempts_.erase(found);
    ended->ended_ = true;
    keep_or_retire(std::move(ended->connection_), outcome == attempt_outcome::complete,
                   ended->order_.connection_limit_);
    engine_->on_attempt_ended(id, outcome);
}

void upstream_pool::fail_oversized(attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && !found->second->ended_) {
        report_end(id, found->second->head_seen_ ? attempt_outcome::broken_answer : attempt_outcome::broken);
    }
}

void upstream_pool::cancel(attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || found->second->ended_) {
        return;
    }
    found->second->ended_ = true;
    evhttp_connection_set_closecb(found->second->connection_->handle_, nullptr, nullptr);
    loop_.defer([this, id] {
        const auto cancelled = attempts_.find(id);
        if (cancelled == attempts_.end()) {
            return;
        }
        auto owned = std::move(cancelled->second);
        attempts_.erase(cancelled);
        retire(std::move(owned->connection_));
    });
}

void upstream_pool::pause(attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && !found->second->ended_) {
        bufferevent_disable(evhttp_connection_get_bufferevent(found->second->connection_->handle_), EV_READ);
    }
}

void upstream_pool::resume(attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && !found->second->ended_) {
        bufferevent_enable(evhttp_connection_get_bufferevent(found->second->connection_->handle_), EV_READ);
    }
}

const header_list& upstream_pool::answer_headers(attempt_id id) const
{
    return attempts_.at(id)->answer_headers_;
}

int upstream_pool::answer_status(attempt_id id) const
{
    return attempts_.at(id)->answer_status_;
}

void upstream_pool::keep_or_retire(connection_ptr used, bool may_keep, int limit)
{
    auto& idle = idle_[used->address_];
    if (!may_keep || !reusable(*used) || open_[used->address_] > limit) {
        retire(std::move(used));
        return;
    }
    used->last_used_ = clock_.now();
    idle.push_back(std::move(used));
}

void upstream_pool::retire(connection_ptr closing)
{
    if (const auto open = open_.find(closing->address_); open != open_.end() && --open->second == 0) {
        open_.erase(open);
    }
    evhttp_connection_set_closecb(closing->handle_, nullptr, nullptr);
    evhttp_connection_free(closing->handle_);
}

void upstream_pool::forget_closed(connection* closed)
{
    auto& idle = idle_[closed->address_];
    for (auto entry = idle.begin(); entry != idle.end(); ++entry) {
        if (entry->get() != closed) {
            continue;
        }
        auto* owned = entry->release();
        idle.erase(entry);
        loop_.defer([this, owned] { retire(connection_ptr(owned)); });
        return;
    }
}

void upstream_pool::close_old_idle_connections()
{
    const auto oldest_allowed = clock_.now() - limits_.idle_life_;
    for (auto& [unused, idle] : idle_) {
        while (!idle.empty() && idle.front()->last_used_ < oldest_allowed) {
            connection_ptr old = std::move(idle.front());
            idle.pop_front();
            retire(std::move(old));
        }
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    sweep_.start(sweep_period);
}

} // namespace anvilpost
