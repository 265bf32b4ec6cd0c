// Forwards bytes between two buffered streams per connection; a queue per direction holds delayed bytes.
#include "platform_world/loopback_proxy.h"

#include "adapters/http/http_fetch.h"

#include <algorithm>
#include <stdexcept>
#include <sys/socket.h>

namespace anvilpost::testing {
namespace {

constexpr duration pump_period = std::chrono::milliseconds(1);

void make_close_reset(bufferevent* stream)
{
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

} // namespace

loopback_proxy::loopback_proxy(event_loop& loop, const loopback_address& listen,
                               const loopback_address& target)
    : loop_(loop), target_(target)
{
    sockaddr_storage address{};
    const int length = to_socket_address(listen.ip_, listen.port_, address);
    constexpr int backlog = 256;
    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<loopback_proxy*>(self)->accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<sockaddr*>(&address), length);
    if (listener_ == nullptr) {
        throw std::runtime_error("the proxy cannot listen on " + listen.ip_);
    }
}

loopback_proxy::~loopback_proxy()
{
    while (!connections_.empty()) {
        close(*connections_.front(), true);
    }
    evconnlistener_free(listener_);
}

void loopback_proxy::accept(evutil_socket_t fd)
{
    if (fault_ == link_fault::refused) {
        const linger at_once{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        evutil_closesocket(fd);
        return;
    }
    connections_.push_back(std::make_unique<connection>());
    auto& added = *connections_.back();
    added.proxy_ = this;
    added.client_ = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    added.server_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    added.up_ = {&added, added.client_, added.server_, false, {}};
    added.down_ = {&added, added.server_, added.client_, false, {}};
    added.pump_ = std::make_unique<timer>(loop_, [this, &added] { pump(added); });
    for (auto* way : {&added.up_, &added.down_}) {
        bufferevent_setcb(
            way->from_,
            [](bufferevent*, void* arg) {
                auto* input = static_cast<direction*>(arg);
                input->owner_->proxy_->on_input(*input);
            },
            nullptr,
            [](bufferevent*, short what, void* arg) {
                auto* input = static_cast<direction*>(arg);
                if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                    input->owner_->proxy_->on_end(*input, (what & BEV_EVENT_ERROR) != 0);
                }
            },
            way);
        bufferevent_enable(way->from_, EV_READ | EV_WRITE);
    }
    sockaddr_storage address{};
    const int length = to_socket_address(target_.ip_, target_.port_, address);
    bufferevent_socket_connect(added.server_, reinterpret_cast<sockaddr*>(&address), length);
}

bool loopback_proxy::passes(const connection& carried, bool downwards) const
{
    return !carried.forgotten_ && fault_ != link_fault::silent &&
           (fault_ != link_fault::one_way || !downwards);
}

void loopback_proxy::on_input(direction& way)
{
    evbuffer* input = bufferevent_get_input(way.from_);
    const auto delay = fault_ == link_fault::delayed ? delay_ : duration{};
    if (way.held_.empty() && delay == duration{} && passes(*way.owner_, &way == &way.owner_->down_)) {
        bufferevent_write_buffer(way.to_, input);
        return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    way.held_.push_back({clock_.now() + delay, std::move(bytes)});
    way.owner_->pump_->start(pump_period);
}

void loopback_proxy::on_end(direction& way, bool broken)
{
    auto& carried = *way.owner_;
    if (broken && fault_ != link_fault::silent && !carried.forgotten_) {
        close(carried, true);
        return;
    }
    way.ended_ = true;
    way.held_.push_back({clock_.now(), ""});
    pump(carried);
}

void loopback_proxy::pump(connection& carried)
{
    pump(carried.up_, passes(carried, false));
    pump(carried.down_, passes(carried, true));
    if (carried.down_.ended_ && carried.down_.held_.empty()) {
        close(carried, false);
        return;
    }
    if (!carried.up_.held_.empty() || !carried.down_.held_.empty()) {
        carried.pump_->start(pump_period);
    }
}

void loopback_proxy::pump(direction& way, bool open)
{
    while (open && !way.held_.empty() && way.held_.front().due_ <= clock_.now()) {
        const auto& next = way.held_.front();
        if (next.bytes_.empty()) {
            // Bytes written before the end of the stream are flushed first.
            if (evbuffer_get_length(bufferevent_get_output(way.to_)) > 0) {
                return;
            }
            shutdown(bufferevent_getfd(way.to_), SHUT_WR);
        }
        else {
            bufferevent_write(way.to_, next.bytes_.data(), next.bytes_.size());
        }
        way.held_.pop_front();
    }
}

void loopback_proxy::close(connection& carried, bool reset)
{
    for (auto* stream : {carried.client_, carried.server_}) {
        if (reset && bufferevent_getfd(stream) >= 0) {
            make_close_reset(stream);
        }
        bufferevent_free(stream);
    }
    const auto found = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& entry) { return entry.get() == &carried; });
    // This may run in the connection's own timer callback, so the connection is destroyed after it returns.
    std::shared_ptr<connection> ended = std::move(*found);
    connections_.erase(found);
    ended->pump_->stop();
    loop_.defer([ended] {});
}

void loopback_proxy::set_fault(link_fault fault, duration delay)
{
    if (fault_ != link_fault::none) {
        harmed_ = true;
        harmed_until_ = clock_.now();
    }
    fault_ = fault;
    delay_ = delay;
    for (auto& carried : connections_) {
        carried->pump_->start(pump_period);
    }
}

void loopback_proxy::reset_open()
{
    while (!connections_.empty()) {
        close(*connections_.front(), true);
    }
}

void loopback_proxy::forget_open()
{
    for (auto& carried : connections_) {
        carried->forgotten_ = true;
    }
}

} // namespace anvilpost::testing
