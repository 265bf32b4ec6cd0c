// An upstream for tests of adapters over loopback connections; the test decides what it sends, byte for byte.
#pragma once

#include "adapters/http/http_fetch.h"
#include "adapters/http/upstream_pool.h"
#include "adapters/loopback_caller.h"

#include <csignal>
#include <netinet/in.h>

namespace anvilpost::testing {

/// An upstream that accepts one connection at a time.
class test_upstream {
public:
    test_upstream() : listener_(socket(AF_INET, SOCK_STREAM, 0))
    {
        std::signal(SIGPIPE, SIG_IGN); // As the daemons do.
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        // Uploads that are not read soon stop.
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
        REQUIRE(listen(listener_, 1) == 0);
        evutil_make_socket_nonblocking(listener_);
    }
    test_upstream(const test_upstream&) = delete;
    test_upstream& operator=(const test_upstream&) = delete;
    ~test_upstream()
    {
        close_connection();
        close(listener_);
    }

    [[nodiscard]] std::uint16_t port() const { return local_port(listener_); }

    /// Returns whether a request has arrived.
    bool has_request()
    {
        if (connection_ < 0) {
            connection_ = accept(listener_, nullptr, nullptr);
        }
        char byte = 0;
        return connection_ >= 0 && recv(connection_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
    }

    /// Reads and drops what has arrived; returns the number of bytes.
    std::size_t discard_input() const
    {
        char buffer[65536];
        std::size_t total = 0;
        ssize_t count = 0;
        while ((count = recv(connection_, buffer, sizeof buffer, MSG_DONTWAIT)) > 0) {
            total += static_cast<std::size_t>(count);
        }
        return total;
    }

    void send(const std::string& bytes) const { REQUIRE(try_send(bytes)); }

    /// Returns false when the other side has closed or reset the connection.
    [[nodiscard]] bool try_send(const std::string& bytes) const
    {
        return ::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    /// Ends the sending direction only.
    void shut_down_sending() const { REQUIRE(shutdown(connection_, SHUT_WR) == 0); }

    /// Closes the connection. If there is unread input, that resets it.
    void close_connection()
    {
        if (connection_ >= 0) {
            close(connection_);
        }
        connection_ = -1;
    }

    void reset_connection()
    {
        const linger abort_on_close{1, 0};
        setsockopt(connection_, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
        close_connection();
    }

private:
    static constexpr int receive_buffer_bytes = 64 * 1024;

    int listener_;
    int connection_ = -1;
};

/// The ways in which the bytes of a response arrive. Short and long pauses are shorter and longer than the
/// time for which `upstream_pool` holds a response back.
enum class delivery { at_once, byte_by_byte, short_pause_in_head, short_pause_in_body, long_pause_in_body };

/// Sends a response as far as the other side takes it.
inline void deliver(const event_loop& loop, const test_upstream& upstream, const std::string& text,
                    delivery how)
{
    const auto hold = upstream_pool_limits().max_response_hold_time_;
    const auto body = text.find("\r\n\r\n") + 4;
    const auto send_with_pause = [&](std::size_t at, duration pause) {
        upstream.send(text.substr(0, at));
        run_loop(loop, pause);
        static_cast<void>(upstream.try_send(text.substr(at)));
    };
    switch (how) {
    case delivery::at_once: upstream.send(text); return;
    case delivery::byte_by_byte:
        for (const char byte : text) {
            if (!upstream.try_send({byte})) {
                return;
            }
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        }
        return;
    case delivery::short_pause_in_head: send_with_pause(body / 2, hold / 5); return;
    case delivery::short_pause_in_body: send_with_pause((body + text.size()) / 2, hold / 5); return;
    case delivery::long_pause_in_body: send_with_pause((body + text.size()) / 2, 2 * hold); return;
    }
}

/// Answers the next request with `text` and closes the connection.
inline void answer_once(const event_loop& loop, test_upstream& upstream, const std::string& text)
{
    REQUIRE(run_loop_until(loop, [&] { return upstream.has_request(); }));
    upstream.discard_input();
    upstream.send(text);
    run_loop(loop, std::chrono::milliseconds(2));
    upstream.close_connection();
}

/// Runs a test case with each way of delivery.
inline delivery each_delivery()
{
    return GENERATE(delivery::at_once, delivery::byte_by_byte, delivery::short_pause_in_head,
                    delivery::short_pause_in_body, delivery::long_pause_in_body);
}

} // namespace anvilpost::testing
