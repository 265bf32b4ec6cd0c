// Forwards bytes between two buffered streams per connection; a queue per direction holds delayed bytes.
#include "test_deployment/loopback_proxy.h"

#include "adapters/http/http_fetch.h"

#include <algorithm>
#include <stdexcept>
#include <sys/socket.h>
#include <vector>

namespace anvilpost::testing {
namespace {

constexpr duration forward_period = std::chrono::milliseconds(1);

void enable_reset_on_close(bufferevent* stream)
{
    const linger without_delay{1, 0};
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &without_delay, sizeof without_delay);
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
    const bool partitioned = partitioned_ && partitioned_(fd);
    if (fault_ == link_fault::refused || (partitioned && partition_kind_ != partition_kind::silent)) {
        const linger without_delay{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &without_delay, sizeof without_delay);
        evutil_closesocket(fd);
        return;
    }
    connections_.push_back(std::make_unique<connection>());
    auto& added = *connections_.back();
    added.proxy_ = this;
    added.blackholed_ = partitioned;
    added.partitioned_ = partitioned;
    added.client_ = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    added.server_ = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    added.to_server_ = {&added, added.client_, added.server_, false, {}};
    added.to_client_ = {&added, added.server_, added.client_, false, {}};
    added.forward_timer_ = std::make_unique<timer>(loop_, [this, &added] { forward_pending(added); });
    for (auto* flow : {&added.to_server_, &added.to_client_}) {
        bufferevent_setcb(
            flow->from_,
            [](bufferevent*, void* arg) {
                auto* input = static_cast<direction*>(arg);
                input->owner_->proxy_->on_input(*input);
            },
            nullptr,
            [](bufferevent*, short events, void* arg) {
                auto* input = static_cast<direction*>(arg);
                if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                    input->owner_->proxy_->on_stream_end(*input, (events & BEV_EVENT_ERROR) != 0);
                }
            },
            flow);
        bufferevent_enable(flow->from_, EV_READ | EV_WRITE);
    }
    sockaddr_storage address{};
    const int length = to_socket_address(target_.ip_, target_.port_, address);
    bufferevent_socket_connect(added.server_, reinterpret_cast<sockaddr*>(&address), length);
}

bool loopback_proxy::forwards(const connection& conn, bool to_client) const
{
    return !conn.blackholed_ && fault_ != link_fault::silent && (fault_ != link_fault::one_way || !to_client);
}

void loopback_proxy::on_input(direction& flow)
{
    evbuffer* input = bufferevent_get_input(flow.from_);
    const auto delay = fault_ == link_fault::delayed ? delay_ : duration{};
    if (flow.pending_.empty() && delay == duration{} &&
        forwards(*flow.owner_, &flow == &flow.owner_->to_client_)) {
        bufferevent_write_buffer(flow.to_, input);
        return;
    }
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    flow.pending_.push_back({clock_.now() + delay, std::move(bytes)});
    flow.owner_->forward_timer_->start(forward_period);
}

void loopback_proxy::on_stream_end(direction& flow, bool failed)
{
    auto& conn = *flow.owner_;
    if (conn.partitioned_) {
        close(conn, true); // Neither end can notice.
        return;
    }
    if (failed && fault_ != link_fault::silent && !conn.blackholed_) {
        close(conn, true);
        return;
    }
    flow.ended_ = true;
    flow.pending_.push_back({clock_.now(), ""});
    forward_pending(conn);
}

void loopback_proxy::forward_pending(connection& conn)
{
    forward_pending(conn.to_server_, forwards(conn, false));
    forward_pending(conn.to_client_, forwards(conn, true));
    if (conn.to_client_.ended_ && conn.to_client_.pending_.empty()) {
        close(conn, false);
        return;
    }
    if (!conn.to_server_.pending_.empty() || !conn.to_client_.pending_.empty()) {
        conn.forward_timer_->start(forward_period);
    }
}

void loopback_proxy::forward_pending(direction& flow, bool open)
{
    while (open && !flow.pending_.empty() && flow.pending_.front().due_ <= clock_.now()) {
        const auto& next = flow.pending_.front();
        if (next.bytes_.empty()) {
            // Bytes written before the end of the stream are flushed first.
            if (evbuffer_get_length(bufferevent_get_output(flow.to_)) > 0) {
                return;
            }
            shutdown(bufferevent_getfd(flow.to_), SHUT_WR);
        }
        else {
            bufferevent_write(flow.to_, next.bytes_.data(), next.bytes_.size());
        }
        flow.pending_.pop_front();
    }
}

void loopback_proxy::close(connection& conn, bool reset)
{
    for (auto* stream : {conn.client_, conn.server_}) {
        if (reset && bufferevent_getfd(stream) >= 0) {
            enable_reset_on_close(stream);
        }
        bufferevent_free(stream);
    }
    const auto found = std::find_if(connections_.begin(), connections_.end(),
                                    [&](const auto& entry) { return entry.get() == &conn; });
    // This may run in the connection's own timer callback, so the connection is destroyed after it returns.
    std::shared_ptr<connection> ended = std::move(*found);
    connections_.erase(found);
    ended->forward_timer_->stop();
    loop_.defer([ended] {});
}

void loopback_proxy::set_fault(link_fault fault, duration delay)
{
    if (fault_ != link_fault::none) {
        had_fault_ = true;
        last_fault_end_ = clock_.now();
    }
    fault_ = fault;
    delay_ = delay;
    for (auto& conn : connections_) {
        conn->forward_timer_->start(forward_period);
    }
}

void loopback_proxy::set_partition(partition_rule partitioned, partition_kind kind)
{
    partitioned_ = std::move(partitioned);
    partition_kind_ = kind;
    if (!partitioned_ || kind == partition_kind::new_refused) {
        return;
    }
    std::vector<connection*> cut;
    for (auto& conn : connections_) {
        if (partitioned_(bufferevent_getfd(conn->client_))) {
            cut.push_back(conn.get());
        }
    }
    for (auto* conn : cut) {
        conn->blackholed_ = true;
        conn->partitioned_ = true;
        if (kind == partition_kind::reset) {
            close(*conn, true);
        }
    }
}

void loopback_proxy::reset_open()
{
    while (!connections_.empty()) {
        close(*connections_.front(), true);
    }
}

void loopback_proxy::blackhole_open()
{
    for (auto& conn : connections_) {
        conn->blackholed_ = true;
    }
}

} // namespace anvilpost::testing
