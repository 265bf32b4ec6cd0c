// A caller and a driver of the event loop for tests of adapters over loopback connections, in one thread.
#pragma once

#include "adapters/event/event_loop.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/event.h>
#include <event2/util.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace anvilpost::testing {

/// A caller with one connection.
class test_caller {
public:
    explicit test_caller(std::uint16_t port) : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // The operating system completes the connection, before the server accepts it.
        REQUIRE(connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        evutil_make_socket_nonblocking(socket_);
    }
    test_caller(const test_caller&) = delete;
    test_caller& operator=(const test_caller&) = delete;
    ~test_caller() { close(socket_); }

    /// The bytes must fit into the socket's buffer.
    void send(const std::string& bytes) const
    {
        REQUIRE(::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }

    /// Sends any number of bytes, to a server in the same thread.
    void send_large(const event_loop& loop, const std::string& bytes) const
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            REQUIRE((count > 0 || errno == EAGAIN));
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        }
    }

    /// Forgets what `received` has returned.
    void clear_received() { received_.clear(); }

    /// Returns everything received so far.
    const std::string& received()
    {
        char buffer[65536];
        ssize_t count = 0;
        while ((count = recv(socket_, buffer, sizeof buffer, 0)) > 0) {
            received_.append(buffer, static_cast<std::size_t>(count));
        }
        reset_ = reset_ || (count < 0 && errno == ECONNRESET);
        return received_;
    }

    /// Returns whether `received` found the connection reset.
    [[nodiscard]] bool reset() const { return reset_; }

private:
    int socket_;
    std::string received_;
    bool reset_ = false;
};

/// Processes the events of a loop for a length of real time.
inline void run_loop(const event_loop& loop, duration length)
{
    const steady_clock clock;
    const auto end = clock.now() + length;
    while (clock.now() < end) {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        usleep(500);
    }
}

/// Processes events until `condition` is true or `limit` has passed; returns whether it became true.
template <class Condition>
bool run_loop_until(const event_loop& loop, Condition condition, duration limit = std::chrono::seconds(5))
{
    const steady_clock clock;
    const auto end = clock.now() + limit;
    while (!condition() && clock.now() < end) {
        run_loop(loop, std::chrono::milliseconds(1));
    }
    return condition();
}

} // namespace anvilpost::testing
