// A listening socket for evhttp with the limits that evhttp lacks: open connections, and bytes of
// requests that are still arriving.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/request_head_scanner.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace anvilpost {

struct listener_limits {
    std::size_t max_connections_ = 2'000;
    std::size_t max_header_bytes_ = 32UL * 1024;
    std::size_t max_body_bytes_ = 8UL * 1024 * 1024;      ///< Of one request.
    std::size_t max_arriving_bytes_ = 24UL * 1024 * 1024; ///< Of all requests that are not yet whole.
    duration idle_timeout_ = std::chrono::seconds(60);    ///< Longest silence of a caller.
};

struct evhttp_deleter {
    void operator()(evhttp* server) const { evhttp_free(server); }
};

/// Owns an evhttp server on one address. Invariant: `arriving_bytes()` counts the bytes read on all
/// connections since their last whole request.
class listener {
public:
    using handler = std::function<void(evhttp_request*)>;

    /// Throws std::runtime_error when the address cannot be bound.
    listener(event_loop& loop, const std::string& ip, std::uint16_t port, listener_limits limits,
             handler on_request);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    /// Stops accepting connections for good; those that are open go on.
    void close();

    /// The request has arrived whole; its bytes no longer count as arriving.
    void on_request_whole(evhttp_request* request);

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::size_t connections() const { return streams_.size(); }
    [[nodiscard]] std::size_t arriving_bytes() const { return arriving_bytes_; }
    [[nodiscard]] std::uint64_t refused_while_arriving() const { return refused_while_arriving_; }

private:
    /// One accepted connection; holds a reference to its bufferevent so that its end can be noticed.
    struct stream {
        listener& owner_;
        bufferevent* handle_ = nullptr;
        request_head_scanner head_;
        std::size_t arriving_bytes_ = 0;
        std::optional<problem_kind> refused_; ///< Set once; the connection then only ends.
    };

    bufferevent* make_stream();
    void on_input(stream& from, std::size_t added);
    std::optional<problem_kind> scan_head(stream& from, std::size_t added);
    void refuse_soon(stream& from);
    void refuse(stream& from);
    void sweep();

    event_loop& loop_;
    listener_limits limits_;
    handler on_request_;
    std::unique_ptr<evhttp, evhttp_deleter> server_;
    evhttp_bound_socket* socket_ = nullptr;
    std::uint16_t port_ = 0;
    bool closed_ = false;
    std::unordered_map<bufferevent*, std::unique_ptr<stream>> streams_;
    std::size_t arriving_bytes_ = 0;
    std::uint64_t refused_while_arriving_ = 0;
    timer sweep_timer_;
};

} // namespace anvilpost
