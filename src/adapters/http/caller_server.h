// The callers' side of the call path: accepts requests, hands them to the engine, and sends answers.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/answer_sink.h"
#include "adapters/http/listener.h"
#include "adapters/http/outgoing_request.h"
#include "adapters/http/upstream_pool.h"
#include "core/calls/call_engine.h"
#include "core/configuration/configuration.h"
#include "ports/caller_port.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace anvilpost {

struct caller_limits {
    listener_limits listener_;
    std::size_t max_held_bytes_ = 16UL * 1024 * 1024; ///< Bodies of all calls in flight.
    std::size_t answer_high_water_ = 256UL * 1024;    ///< Unsent answer bytes at which the upstream pauses.
};

/// Invariants: each exchange in `exchanges_` has exactly one evhttp request; an exchange is removed when
/// its answer has been written whole or its connection has closed, whichever comes first.
class caller_server : public caller_port, public answer_sink, public request_source {
public:
    caller_server(event_loop& loop, const clock_port& clock, const std::string& ip, std::uint16_t port,
                  caller_limits limits, std::string node);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server() override;

    /// Must be called before the first request. Both must outlive the server's last event.
    void connect(call_engine& engine, upstream_pool& pool);

    /// Learns which hosts belong to which service.
    void apply(const configuration& config);

    /// From now on each answer asks its caller to close the connection.
    void start_draining() { draining_ = true; }

    /// Stops accepting connections.
    void stop_accepting() { listener_.close(); }

    void reject(call_id call, const problem& why) override;
    void relay(call_id call, attempt_id attempt) override;
    void abort(call_id call) override;
    bool on_body(call_id call, evbuffer* bytes) override;
    void on_body_end(call_id call) override;
    const outgoing_request* request_of(call_id call) override;

    /// Requests accepted whose answers have not been written whole.
    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }
    [[nodiscard]] time_point last_request() const { return last_request_; }
    [[nodiscard]] const listener& accepting() const { return listener_; }
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }

private:
    struct exchange {
        caller_server& server_;
        call_id call_{};
        evhttp_request* request_ = nullptr;
        evhttp_connection* connection_ = nullptr;
        outgoing_request outgoing_;
        std::string method_;
        std::size_t body_bytes_ = 0;
        event_ptr hang_up_;
        attempt_id relayed_{};
        bool relaying_ = false;
        bool paused_ = false;
        bool answered_ = false; ///< The last byte of the answer was handed to evhttp.
    };

    void on_request(evhttp_request* request);
    void refuse(evhttp_request* request, const problem& why, bool close_connection);
    std::optional<problem> check(evhttp_request* request, const header_list& headers) const;
    exchange& open_exchange(evhttp_request* request, header_list headers);
    call describe(const exchange& opened, const std::string& host) const;
    void watch_for_hang_up(exchange& opened);
    void on_hang_up(call_id call);
    void on_connection_closed(call_id call);
    void on_answer_written(call_id call);
    void on_answer_drained(call_id call);
    void remove(call_id call);
    void add_common_headers(evhttp_request* request, const std::string& request_id) const;
    exchange* find(call_id call);

    event_loop& loop_;
    const clock_port& clock_;
    caller_limits limits_;
    std::string node_;
    call_engine* engine_ = nullptr;
    upstream_pool* pool_ = nullptr;
    std::unordered_map<std::string, std::string> service_of_host_;
    std::unordered_map<std::string, service_config> services_;
    std::unordered_map<call_id, std::unique_ptr<exchange>> exchanges_;
    std::size_t held_bytes_ = 0;
    std::uint64_t next_call_ = 1;
    bool draining_ = false;
    time_point last_request_{};
    listener listener_;
};

} // namespace anvilpost
