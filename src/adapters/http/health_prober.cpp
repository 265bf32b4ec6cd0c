// Implementation of the health probes: one connection and one timer per target.
#include "adapters/http/health_prober.h"

#include "adapters/http/http_fetch.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Far above the few milliseconds in which an upstream on the same network answers a probe.
constexpr duration probe_timeout = 150ms;
constexpr std::size_t max_response_head_bytes = 8UL * 1024;
constexpr int http_ok = 200;

} // namespace

health_prober::health_prober(event_loop& loop, const clock_port& clock, const header_names& names,
                             probe_result_callback on_probe_result)
    : loop_(loop), clock_(clock), names_(names), on_probe_result_(std::move(on_probe_result))
{
}

health_prober::~health_prober()
{
    for (auto& [unused, open] : probes_) {
        disconnect(*open);
    }
}

void health_prober::set_targets(const std::vector<probe_target>& targets)
{
    std::map<std::string, probe_target> wanted;
    for (const auto& target : targets) {
        wanted.insert_or_assign(target.service_ + "/" + target.upstream_, target);
    }
    for (auto entry = probes_.begin(); entry != probes_.end();) {
        const auto found = wanted.find(entry->first);
        if (found != wanted.end() && found->second == entry->second->target_) {
            wanted.erase(found);
            ++entry;
            continue;
        }
        disconnect(*entry->second);
        entry = probes_.erase(entry);
    }
    for (const auto& [key, target] : wanted) {
        auto made = std::make_unique<probe>(probe{*this, target});
        auto* added = made.get();
        made->timer_ = std::make_unique<timer>(loop_, [this, added] { on_timer(*added); });
        probes_[key] = std::move(made);
        start(*added);
    }
}

void health_prober::disconnect(probe& from)
{
    if (from.stream_ != nullptr) {
        bufferevent_free(from.stream_);
        from.stream_ = nullptr;
    }
    from.in_flight_ = false;
}

void health_prober::start(probe& next)
{
    const auto& target = next.target_;
    if (next.stream_ == nullptr) {
        next.answered_before_ = false;
        next.stream_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            next.stream_,
            [](bufferevent*, void* arg) {
                auto* from = static_cast<probe*>(arg);
                from->owner_.on_input(*from);
            },
            nullptr,
            [](bufferevent* stream, short what, void* arg) {
                auto* from = static_cast<probe*>(arg);
                if ((what & BEV_EVENT_CONNECTED) != 0) {
                    const int no_delay = 1;
                    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &no_delay,
                               sizeof no_delay);
                    return;
                }
                if (from->in_flight_) {
                    from->owner_.finish(*from, {}, false);
                }
                else {
                    from->owner_.disconnect(*from);
                }
            },
            &next);
        sockaddr_storage address{};
        const int length = to_socket_address(target.ip_, target.port_, address);
        bufferevent_socket_connect(next.stream_, reinterpret_cast<sockaddr*>(&address), length);
        bufferevent_enable(next.stream_, EV_READ | EV_WRITE);
    }
    ++sent_;
    next.in_flight_ = true;
    next.started_ = clock_.now();
    next.reader_ = std::make_unique<message_reader>(message_side::response, max_response_head_bytes);
    const std::string request = "GET " + target.path_ + " HTTP/1.1\r\nHost: " + target.ip_ + "\r\n\r\n";
    bufferevent_write(next.stream_, request.data(), request.size());
    next.timer_->start(std::max(probe_timeout, target.period_));
}

void health_prober::on_timer(probe& due)
{
    if (due.in_flight_) {
        finish(due, {}, false);
        return;
    }
    start(due);
}

void health_prober::on_input(probe& from)
{
    evbuffer* input = bufferevent_get_input(from.stream_);
    if (!from.in_flight_) {
        disconnect(from); // Unrequested input: later responses could be assigned to the wrong probe.
        return;
    }
    while (true) {
        const auto outcome = from.reader_->feed(input);
        if (outcome == read_status::more) {
            return;
        }
        if (outcome != read_status::complete) {
            finish(from, {}, false);
            return;
        }
        if (from.reader_->head().status_ >= first_final_status) {
            break;
        }
        from.reader_ = std::make_unique<message_reader>(message_side::response, max_response_head_bytes);
    }
    const auto& head = from.reader_->head();
    probe_result result{true, head.status_ == http_ok, !from.answered_before_,
                        parse_self_report(head.headers_, head.status_, names_)};
    from.answered_before_ = true;
    const auto instance = find_header(head.headers_, names_.instance_);
    if (instance && *instance != from.target_.upstream_) {
        result = {}; // Another instance has taken over the address; counts as no response.
    }
    finish(from, result, head.keep_alive_ && evbuffer_get_length(input) == 0);
}

void health_prober::finish(probe& from, const probe_result& result, bool keep_connection)
{
    from.in_flight_ = false;
    unanswered_ += result.answered_ ? 0 : 1;
    if (!keep_connection) {
        disconnect(from);
    }
    const duration since_start = clock_.now() - from.started_;
    const duration pause =
        result.answered_ ? from.target_.period_ : std::max(probe_timeout, from.target_.period_);
    from.timer_->start(std::max<duration>(1ms, pause - since_start));
    on_probe_result_(from.target_, result);
}

} // namespace anvilpost
