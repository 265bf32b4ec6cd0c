// Connection pool for upstreams: sends the attempts of calls and receives their responses. A connection has
// at most one outstanding request (no pipelining). A connection whose request was cancelled or timed out
// before its response was complete, or that delivered bytes after its response, is closed and never reused,
// so that a response cannot reach the wrong request.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/header_names.h"
#include "adapters/http/message_reader.h"
#include "adapters/http/response_end.h"
#include "adapters/http/response_sink.h"
#include "core/calls/call_engine.h"
#include "ports/upstream_port.h"

#include <event2/bufferevent.h>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace anvilpost {

/// Timeouts and buffer sizes of the connections to upstreams.
struct upstream_pool_limits {
    duration connect_timeout_ = std::chrono::seconds(1); ///< To establish a connection.
    duration max_idle_time_ = std::chrono::seconds(5);   ///< After which an idle connection is closed.
    /// Longest time since the last response on a connection for `connection_need::recently_used`.
    duration recent_response_max_age_ = std::chrono::seconds(1);
    std::size_t max_header_bytes_ = 64UL * 1024;
    std::size_t response_high_water_ = 256UL * 1024; ///< Bytes read ahead of a slow caller.
    /// A response is held back until it is complete, its body reaches `max_held_response_bytes_`, or it has
    /// been held for `max_response_hold_time_`. If it breaks off before, a repeatable request can be retried
    /// on another upstream.
    std::size_t max_held_response_bytes_ = 64UL * 1024;
    duration max_response_hold_time_ = std::chrono::milliseconds(25);
};

/// Counters for the metrics endpoint.
struct upstream_pool_counters {
    std::uint64_t connections_opened_ = 0;
    std::uint64_t connections_reused_ = 0;
    std::uint64_t most_open_ = 0; ///< Peak number of connections open to one upstream.
    std::uint64_t connect_failures_ = 0;
    /// Idle connections closed because unrequested input arrived, or found unusable when picked for reuse.
    std::uint64_t surplus_responses_ = 0;
    std::uint64_t foreign_responses_ = 0;    ///< Skipped, since they belonged to other requests.
    std::uint64_t unreadable_responses_ = 0; ///< Malformed or cut short.
};

/// Sends attempts to upstreams over pooled connections and reports their progress to the call engine.
/// Invariants: opening a connection first closes idle ones to stay within the latest order's limit, so only
/// connections that attempts use can exceed it, after the limit was lowered; every attempt in `attempts_`
/// has exactly one connection; a connection is either idle or owned by one attempt.
class upstream_pool : public upstream_port {
public:
    upstream_pool(event_loop& loop, const clock_port& clock, const upstream_pool_limits& limits,
                  const header_names& names);
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;
    ~upstream_pool() override;

    /// Must be called before the first attempt. All three objects must outlive the pool's last event.
    void connect(call_engine& engine, response_sink& sink, request_source& source);

    void start(const attempt_order& order) override;
    void cancel(attempt_id id) override;
    [[nodiscard]] bool has_idle_connection(const std::string& ip, std::uint16_t port,
                                           connection_need need) const override;

    /// Back-pressure: stop and continue reading an attempt's response.
    void pause(attempt_id id);
    void resume(attempt_id id);

    /// Returns the head of an attempt's response. May be called from `call_engine::on_response_started` until
    /// the attempt ends.
    [[nodiscard]] const message_head& response(attempt_id id) const;

    /// True when the attempt was sent to another node; may be called at the same times as `response`.
    [[nodiscard]] bool sent_to_peer(attempt_id id) const { return attempts_.at(id)->order_.to_peer_; }

    /// Returns the length of the response's body in bytes, if it is known.
    [[nodiscard]] std::optional<std::uint64_t> response_length(attempt_id id) const;

    [[nodiscard]] const upstream_pool_counters& counters() const { return counters_; }

private:
    struct connection {
        upstream_pool& pool_;
        std::string address_;
        std::unique_ptr<bufferevent, bufferevent_deleter> stream_{};
        time_point last_used_{};
        time_point expires_{};          ///< Not reused from this time on, as the upstream may close it.
        std::size_t bytes_written_ = 0; ///< Since the current request was started.
        bool connected_ = false;
        bool not_reusable_ = false; ///< A response to another request arrived on it.
        attempt_id attempt_{};      ///< The attempt that uses it; default value: none.
        std::list<std::unique_ptr<connection>>::iterator idle_position_{};
        bool idle_ = false;
    };
    using connection_ptr = std::unique_ptr<connection>;

    enum class response_state {
        receiving,
        complete, ///< The whole response has been read.
        failed    ///< Nothing that was or will be read of it is passed on.
    };

    struct attempt {
        attempt_order order_;
        std::string request_id_{};
        connection_ptr connection_{};
        std::unique_ptr<message_reader> reader_{};
        std::unique_ptr<timer> hold_timer_{};
        /// Runs while it is not known whether a response that ended with its connection is whole.
        std::unique_ptr<timer> end_timer_{};
        bool head_request_ = false;
        bool on_new_connection_ = false;
        bool forwarding_started_ = false; ///< The engine was told of the response; the body is forwarded.
        response_state state_ = response_state::receiving;
        bool paused_ = false;
    };

    connection_ptr take_connection(const attempt_order& order);
    connection_ptr open_connection(const attempt_order& order);
    bool reusable(const connection& idle) const;
    void close_connection(connection_ptr closing);
    void close_idle_connection_later(connection& idle);
    void keep_or_close_connection(connection_ptr used, const message_head* response, int limit);
    [[nodiscard]] time_point oldest_reusable(connection_need need) const;
    void evict_idle_connections(const std::string& address, int limit);
    void write_request(attempt& current, const outgoing_request& request);
    void on_input(connection& from);
    void on_event(connection& from, short what);

    /// True when the socket is connected although libevent reported a connect timeout.
    static bool connected_despite_timeout(const connection& from);
    void receive_response(attempt& current, receive_state from_upstream);
    void check_end_later(attempt& current);
    bool skip_message(attempt& current);
    void forward_response_when_due(attempt& current);
    void forward_response(attempt& current);
    void fail(attempt_id id);
    void report_end(attempt_id id, attempt_outcome outcome);
    void close_expired_connections();
    attempt* find(attempt_id id);
    [[nodiscard]] static response_head peer_response_head(const message_head& head);
    [[nodiscard]] response_head to_response_head(const message_head& head) const;

    event_loop& loop_;
    const clock_port& clock_;
    upstream_pool_limits limits_;
    header_names names_;
    call_engine* engine_ = nullptr;
    response_sink* sink_ = nullptr;
    request_source* source_ = nullptr;
    std::unordered_map<attempt_id, std::unique_ptr<attempt>> attempts_;
    std::map<std::string, std::list<connection_ptr>> idle_;
    std::map<std::string, int> open_connections_; ///< Connections per address, idle or not.
    timer sweep_timer_;
    upstream_pool_counters counters_;
};

} // namespace anvilpost
