// The server for callers (HTTP clients): accepts connections, turns requests into calls for the call
// engine, and sends the responses of upstreams or generated problem documents.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/authentication.h"
#include "adapters/http/caller_connection.h"
#include "adapters/http/header_names.h"
#include "adapters/http/outgoing_request.h"
#include "adapters/http/response_sink.h"
#include "adapters/http/upstream_pool.h"
#include "core/calls/call_engine.h"
#include "core/calls/first_try_inference.h"
#include "core/configuration/route_table.h"
#include "ports/caller_port.h"

#include <event2/listener.h>
#include <memory>
#include <string>
#include <unordered_map>

namespace anvilpost {

/// Limits over all callers' connections together, and per connection.
struct caller_limits {
    std::size_t max_connections_ = 2'000;
    std::size_t max_arriving_bytes_ = 24UL * 1024 * 1024; ///< Of all partly received requests together.
    std::size_t max_held_bytes_ = 16UL * 1024 * 1024;     ///< Request bodies of all calls in flight.
    std::size_t response_high_water_ = 256UL * 1024;      ///< Unsent; above it the pool stops reading.
    std::size_t max_unsent_bytes_ = 0;                    ///< Of all responses together; 0: no limit.
    double link_bytes_per_second_ = 0;                    ///< Of the node; 0: large responses have no limit.
    caller_connection_limits connection_limits_;          ///< Defaults when the configuration sets none.
};

/// Counters for the metrics endpoint.
struct caller_counters {
    std::uint64_t connections_accepted_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t refused_before_routing_ = 0; ///< Malformed, too large, too slow, or out of memory.
    std::uint64_t unauthorised_ = 0;           ///< Without a valid key.
    std::uint64_t callers_gone_ = 0;           ///< Disconnected before their response was fully written.
    std::uint64_t response_pauses_ = 0;        ///< How often reading a response was stopped.
};

/// Accepts callers' requests and writes their responses. An exchange is one request with its response.
/// Invariants: each exchange belongs to exactly one connection, which serves only this one; an exchange is
/// removed when its response has been written completely or its connection has closed, whichever is first.
class caller_server : public caller_port,
                      public response_sink,
                      public request_source,
                      public caller_connection_events {
public:
    /// Throws std::runtime_error when the address cannot be bound.
    caller_server(event_loop& loop, const clock_port& clock, random_port& random, const std::string& ip,
                  std::uint16_t port, const caller_limits& limits, const header_names& names,
                  std::string node, const organisation_directory& organisations);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server() override;

    /// Must be called before the first request. Both objects must outlive the server's last event.
    void connect(call_engine& engine, upstream_pool& pool);

    /// Replaces the routes, the services and the limits on callers.
    void apply(const configuration& config);

    /// While the node has no current configuration, calls wait for it for a short time and are then refused
    /// with `not_configured`. Setting it to true starts the waiting calls.
    void set_configured(bool configured);

    /// Returns whether the configuration in force can be acted on; it may be out of date. Without this
    /// function, it can.
    std::function<bool()> is_current_;

    /// Starts the calls that wait for a current configuration, as far as they may start now.
    void start_waiting_calls();

    /// From now on each response carries `Connection: close`.
    void start_draining();

    /// Stops accepting connections.
    void stop_accepting();

    /// Closes the connections on which no request is arriving or being served.
    void close_idle_connections();

    void reject(call_id call, const problem& why) override;
    void relay(call_id call, attempt_id attempt) override;
    void abort(call_id call) override;
    [[nodiscard]] relay_progress progress_of(call_id call) const override;
    bool on_body(call_id call, evbuffer* bytes) override;
    void on_body_end(call_id call) override;
    [[nodiscard]] std::size_t body_limit() const override
    {
        return unsent_.per_call(limits_.response_high_water_);
    }
    const outgoing_request* request_of(call_id call) override;

    /// Accepted requests whose responses have not been written completely.
    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }
    /// The port that callers connect to; chosen by the operating system if 0 was asked for.
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::size_t open_connections() const { return connections_.size(); }
    [[nodiscard]] time_point last_request() const { return last_request_; }
    [[nodiscard]] std::size_t held_bytes() const { return held_bytes_; }
    /// Bytes of responses that were read from upstreams and not written to callers.
    [[nodiscard]] const unsent_memory& unsent() const { return unsent_; }
    [[nodiscard]] const large_response_group& large_responses() const { return large_responses_; }
    [[nodiscard]] const caller_counters& counters() const { return counters_; }

private:
    /// A call that must not be routed by the configuration in force.
    struct waiting_for_configuration {
        time_point since_{};
        call_id call_{};
        std::uint64_t revision_ = 0; ///< Least that it needs: that of the node that forwarded it.
    };

    struct exchange {
        call_id call_{};
        caller_connection& connection_;
        outgoing_request outgoing_;
        std::size_t body_bytes_ = 0;
        attempt_id relayed_attempt_{};
        std::uint64_t relayed_bytes_ = 0; ///< Of the response's body.
        bool paused_ = false;
        bool answered_ = false; ///< The complete response was handed to the connection.
        bool large_ = false;    ///< A response of an upstream is one of the large ones.
    };

    void on_request(caller_connection& from) override;
    void on_bad_request(caller_connection& from, const problem& why) override;
    void on_output_flushed(caller_connection& to) override;
    void on_closed(caller_connection& from) override;

    void start(exchange& opened);
    [[nodiscard]] bool may_start(const waiting_for_configuration& arrived) const;
    void refuse_waiting_calls();
    void accept(int socket);
    void sweep();
    void send_problem(caller_connection& to, const problem& why, const std::string& request_id);
    std::optional<problem> validate(message_reader& request) const;
    exchange& open_exchange(caller_connection& from);
    call make_call(const exchange& opened, const route_config* route);
    [[nodiscard]] bool authenticate_call(exchange& opened, const route_config& route, call& new_call);
    void remove(call_id call);
    exchange* find(call_id call);

    event_loop& loop_;
    const clock_port& clock_;
    random_port& random_;
    caller_limits limits_;
    caller_connection_limits connection_limits_; ///< Currently in effect; connections hold a reference to it.
    arriving_memory arriving_;                   ///< Connections hold a reference to it.
    unsent_memory unsent_;                       ///< Connections hold a reference to it.
    large_response_group large_responses_;       ///< Connections hold a reference to it.
    header_names names_;
    std::string node_;
    const organisation_directory& organisations_;
    call_engine* engine_ = nullptr;
    upstream_pool* pool_ = nullptr;
    route_table routes_;
    std::unordered_map<std::string, first_try_inference> first_tries_; ///< By route.
    std::unordered_map<std::string, service_config> services_;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>> connections_;
    std::unordered_map<caller_connection*, call_id> call_by_connection_;
    std::unordered_map<call_id, std::unique_ptr<exchange>> exchanges_;
    std::size_t held_bytes_ = 0;
    std::uint64_t next_call_ = 1;
    bool configured_ = true;
    std::uint64_t revision_ = 0;                                       ///< Of the configuration in force.
    std::vector<waiting_for_configuration> waiting_for_configuration_; ///< Oldest first.
    timer configuration_wait_timer_; ///< Runs until the oldest of them has waited too long.
    bool draining_ = false;
    time_point last_request_{};
    caller_counters counters_;
    evconnlistener* listener_ = nullptr;
    std::uint16_t port_ = 0;
    timer sweep_timer_;
};

} // namespace anvilpost
