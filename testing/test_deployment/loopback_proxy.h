// A TCP proxy on loopback that injects link faults on request: delayed bytes, bytes held back in one or both
// directions, refused or reset connections.
#pragma once

#include "adapters/event/event_loop.h"

#include <deque>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace anvilpost::testing {

/// Fault of the link between two programs.
enum class link_fault {
    none,
    delayed, ///< Each byte arrives later.
    silent,  ///< No bytes are forwarded in either direction; connections stay open.
    one_way, ///< Bytes of the client are forwarded, bytes of the server aren't.
    refused, ///< New connections are reset.
};

/// What happens to the connections of a client that is partitioned from the server.
enum class partition_kind {
    silent,     ///< Open and new connections hang.
    reset,      ///< Open and new connections are reset.
    new_refused ///< Open connections work; new ones are reset.
};

/// Tells whether the client at the other end of an accepted connection is partitioned from the server.
using partition_rule = std::function<bool(evutil_socket_t accepted)>;

struct loopback_address {
    std::string ip_;
    std::uint16_t port_ = 0;
};

/// Invariant: bytes held back by a fault are forwarded in order once it ends, unless their connection has
/// been reset or blackholed.
class loopback_proxy {
public:
    loopback_proxy(event_loop& loop, const loopback_address& listen, const loopback_address& target);
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    ~loopback_proxy();

    /// Replaces the current fault; `delay` applies to `link_fault::delayed` only.
    void set_fault(link_fault fault, duration delay = {});

    /// Resets (TCP RST) all connections that are open now.
    void reset_open();

    /// Blackholes all connections that are open now: nothing more is forwarded and neither end is notified.
    void blackhole_open();

    /// Partitions the clients that the rule names; an empty rule ends the partition. Connections that hang
    /// stay so.
    void set_partition(partition_rule partitioned, partition_kind kind);

    /// True when a fault was set at any time within the last `span`. `reset_open` and `blackhole_open` don't
    /// count.
    [[nodiscard]] bool had_fault_within(duration span) const
    {
        return fault_ != link_fault::none || (had_fault_ && clock_.now() - last_fault_end_ < span);
    }

private:
    struct connection;

    struct direction {
        connection* owner_ = nullptr;
        bufferevent* from_ = nullptr;
        bufferevent* to_ = nullptr;
        bool ended_ = false;
        struct chunk {
            time_point due_{};
            std::string bytes_; ///< Empty for the end of the stream.
        };
        std::deque<chunk> pending_;
    };

    struct connection {
        loopback_proxy* proxy_ = nullptr;
        bufferevent* client_ = nullptr;
        bufferevent* server_ = nullptr;
        direction to_server_;
        direction to_client_;
        bool blackholed_ = false;
        bool partitioned_ = false; ///< By `set_partition`.
        std::unique_ptr<timer> forward_timer_;
    };

    void accept(evutil_socket_t fd);
    void on_input(direction& flow);
    void on_stream_end(direction& flow, bool failed);
    void forward_pending(connection& conn);
    void forward_pending(direction& flow, bool open);
    void close(connection& conn, bool reset);
    [[nodiscard]] bool forwards(const connection& conn, bool to_client) const;

    event_loop& loop_;
    loopback_address target_;
    evconnlistener* listener_ = nullptr;
    steady_clock clock_;
    link_fault fault_ = link_fault::none;
    partition_rule partitioned_;
    partition_kind partition_kind_ = partition_kind::silent;
    duration delay_{};
    bool had_fault_ = false;
    time_point last_fault_end_{};
    std::list<std::unique_ptr<connection>> connections_;
};

} // namespace anvilpost::testing
