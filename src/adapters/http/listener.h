// An evhttp server on one address, with limits that evhttp lacks: the number of open connections and the
// total size of requests that are only partly received. Requests that break a limit are refused with a
// problem document (RFC 9457) before evhttp sees them. It serves operators and other nodes; callers are
// served by caller_server.
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

/// Limits on the connections and requests of a listener's clients.
struct listener_limits {
    std::size_t max_connections_ = 2'000;
    std::size_t max_header_bytes_ = 32UL * 1024;
    std::size_t max_body_bytes_ = 8UL * 1024 * 1024;      ///< Of one request.
    std::size_t max_arriving_bytes_ = 24UL * 1024 * 1024; ///< Of all partly received requests together.
    duration idle_timeout_ = std::chrono::seconds(60);    ///< Without progress in reading or writing.
};

struct evhttp_deleter {
    void operator()(evhttp* server) const { evhttp_free(server); }
};

/// Owns an evhttp server on one address. Invariant: `arriving_bytes()` is the sum over all connections of
/// the bytes received since the last complete request.
class listener {
public:
    /// Called with each complete request.
    using handler = std::function<void(evhttp_request*)>;

    /// Throws std::runtime_error when the address cannot be bound.
    listener(event_loop& loop, const std::string& ip, std::uint16_t port, listener_limits limits,
             handler on_request);
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    ~listener();

    /// Stops accepting connections for good; open connections are still served.
    void close();

    /// Must be called by the handler for each complete request, so that its bytes stop counting as arriving.
    void on_request_complete(evhttp_request* request);

    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::size_t connections() const { return streams_.size(); }
    [[nodiscard]] std::size_t arriving_bytes() const { return arriving_bytes_; }
    [[nodiscard]] std::uint64_t refused_while_arriving() const { return refused_while_arriving_; }

private:
    /// One accepted connection. Holds a reference to its bufferevent, so that `sweep` can detect that evhttp
    /// has closed it.
    struct stream {
        listener& owner_;
        bufferevent* handle_ = nullptr;
        request_head_scanner head_;
        std::size_t arriving_bytes_ = 0;
        std::optional<problem_kind> refused_; ///< Set at most once; the connection is then closed.
    };

    bufferevent* make_stream();
    void on_input(stream& from, std::size_t added);
    std::optional<problem_kind> scan_head(stream& from, std::size_t added);
    void schedule_refusal(stream& from);
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
