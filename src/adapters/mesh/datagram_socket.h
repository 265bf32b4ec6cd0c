// The UDP socket on which a node exchanges datagrams with its peers.
#pragma once

#include "adapters/event/event_loop.h"
#include "ports/datagram_port.h"

#include <functional>

namespace anvilpost {

struct datagram_counters {
    std::uint64_t dropped_ = 0; ///< Datagrams that the operating system refused to send.
};

/// Delivery is best effort: a datagram that cannot be sent at once is dropped and counted.
class datagram_socket : public datagram_port {
public:
    /// Binds to `ip` and `port` and calls `on_datagram` with each datagram received. Throws
    /// std::runtime_error when the address cannot be bound.
    datagram_socket(const event_loop& loop, const std::string& ip, std::uint16_t port,
                    std::function<void(const std::string&)> on_datagram);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    ~datagram_socket() override;

    void send(const std::string& ip, std::uint16_t port, const std::string& bytes) override;

    [[nodiscard]] const datagram_counters& counters() const { return counters_; }

private:
    void receive();

    int socket_ = -1;
    std::function<void(const std::string&)> on_datagram_;
    event_ptr read_event_;
    datagram_counters counters_;
};

} // namespace anvilpost
