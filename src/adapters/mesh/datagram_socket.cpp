// Sends and receives UDP datagrams without blocking, on a libevent read event.
#include "adapters/mesh/datagram_socket.h"

#include "adapters/http/http_fetch.h"

#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace anvilpost {
namespace {

/// Maximum payload of a UDP datagram over IPv4.
constexpr std::size_t max_datagram_bytes = 65'507;

/// Limits the datagrams read per wake-up, so that a flood of them does not starve the calls on the event
/// loop.
constexpr int max_datagrams_per_wakeup = 64;

} // namespace

datagram_socket::datagram_socket(const event_loop& loop, const std::string& ip, std::uint16_t port,
                                 std::function<void(const std::string&)> on_datagram)
    : on_datagram_(std::move(on_datagram))
{
    sockaddr_storage address{};
    const int length = to_socket_address(ip, port, address);
    socket_ = socket(address.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ < 0 ||
        bind(socket_, reinterpret_cast<sockaddr*>(&address), static_cast<socklen_t>(length)) != 0) {
        throw std::runtime_error("cannot bind the UDP socket to " + ip + ":" + std::to_string(port));
    }
    read_event_.reset(event_new(
        loop.base(), socket_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* arg) { static_cast<datagram_socket*>(arg)->receive(); }, this));
    event_add(read_event_.get(), nullptr);
}

datagram_socket::~datagram_socket()
{
    read_event_.reset();
    close(socket_);
}

void datagram_socket::send(const std::string& ip, std::uint16_t port, const std::string& bytes)
{
    sockaddr_storage address{};
    const int length = to_socket_address(ip, port, address);
    const auto sent = sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT,
                             reinterpret_cast<sockaddr*>(&address), static_cast<socklen_t>(length));
    counters_.dropped_ += sent < 0 ? 1 : 0;
}

void datagram_socket::receive()
{
    static thread_local std::string buffer(max_datagram_bytes, '\0');
    for (int i = 0; i < max_datagrams_per_wakeup; ++i) {
        const auto count = recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0) {
            return;
        }
        on_datagram_(buffer.substr(0, static_cast<std::size_t>(count)));
    }
}

} // namespace anvilpost
