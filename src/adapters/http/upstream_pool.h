// Connections to upstreams. One request is outstanding per connection; a connection whose request was
// cancelled, timed out or answered with surplus bytes is closed and never used again.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/answer_sink.h"
#include "adapters/http/header_names.h"
#include "adapters/http/message_reader.h"
#include "core/calls/call_engine.h"
#include "ports/upstream_port.h"

#include <event2/bufferevent.h>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace anvilpost {

struct upstream_pool_limits {
    duration connect_timeout_ = std::chrono::seconds(1); ///< For a connection to be established.
    duration idle_life_ = std::chrono::seconds(5);       ///< Idle connections are closed after this.
    duration proof_life_ = std::chrono::seconds(1);      ///< Age up to which an answer proves a connection.
    std::size_t max_header_bytes_ = 64UL * 1024;
    std::size_t answer_high_water_ = 256UL * 1024; ///< Bytes read ahead of a slow caller.
    /// An answer is passed on when it is whole, or has this many bytes, or at this age: until then a
    /// repeatable request whose answer breaks off can be tried elsewhere.
    std::size_t held_answer_bytes_ = 64UL * 1024;
    duration held_answer_time_ = std::chrono::milliseconds(25);
};

/// Counters for the metrics endpoint.
struct upstream_pool_counters {
    std::uint64_t connections_opened_ = 0;
    std::uint64_t connections_reused_ = 0;
    std::uint64_t most_open_ = 0; ///< Most connections open to one upstream at the same time.
    std::uint64_t connect_failures_ = 0;
    /// Connections closed because bytes arrived that no request asked for.
    std::uint64_t surplus_answers_ = 0;
    std::uint64_t foreign_answers_ = 0;    ///< Answers to other requests, skipped.
    std::uint64_t unreadable_answers_ = 0; ///< Bytes that are no answer, or an answer cut short.
};

/// Invariants: no upstream has more connections than the latest order's limit, but for attempts that were
/// started under a greater one; every attempt in `attempts_` has exactly one connection; a connection is
/// either idle or owned by one attempt.
class upstream_pool : public upstream_port {
public:
    upstream_pool(event_loop& loop, const clock_port& clock, const upstream_pool_limits& limits,
                  const header_names& names);
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;
    ~upstream_pool() override;

    /// Must be called before the first attempt. All must outlive the pool's last event.
    void connect(call_engine& engine, answer_sink& sink, request_source& source);

    void start(const attempt_order& order) override;
    void cancel(attempt_id id) override;

    /// Stops and continues reading an attempt's answer.
    void pause(attempt_id id);
    void resume(attempt_id id);

    /// Head of an attempt's answer; valid from `on_answer_started` until the attempt ends.
    [[nodiscard]] const message_head& answer(attempt_id id) const;

    /// Length of the answer's body, if it is known by now.
    [[nodiscard]] std::optional<std::uint64_t> answer_length(attempt_id id) const;

    [[nodiscard]] const upstream_pool_counters& counters() const { return counters_; }

private:
    struct connection {
        upstream_pool& pool_;
        std::string address_;
        std::unique_ptr<bufferevent, bufferevent_deleter> stream_{};
        time_point last_used_{};
        time_point expires_{};          ///< The upstream may close it, once idle, from then on.
        std::size_t bytes_written_ = 0; ///< Since the current request started.
        bool connected_ = false;
        bool spoiled_ = false; ///< An answer to another request came; closed after this request.
        attempt_id attempt_{}; ///< The attempt that uses it now.
        std::list<std::unique_ptr<connection>>::iterator idle_place_{};
        bool idle_ = false;
    };
    using connection_ptr = std::unique_ptr<connection>;

    struct attempt {
        attempt_order order_;
        std::string request_id_;
        connection_ptr connection_;
        std::unique_ptr<message_reader> reader_;
        std::unique_ptr<timer> hold_timer_;
        bool head_request_ = false;
        bool passed_on_ = false; ///< The engine knows of the answer.
        bool complete_ = false;
        bool paused_ = false;
    };

    connection_ptr take_connection(const attempt_order& order);
    connection_ptr open_connection(const attempt_order& order);
    bool reusable(const connection& idle) const;
    void retire(connection_ptr closing);
    void retire_soon(connection& idle);
    void keep_or_retire(connection_ptr used, const message_head* answer, int limit);
    void make_room(const std::string& address, int limit);
    void write_request(attempt& current, const outgoing_request& request);
    void on_input(connection& from);
    void on_event(connection& from, short what);

    /// True when a connection that was taken to time out stands already.
    static bool connected_meanwhile(const connection& from);
    void read_answer(attempt& current, bool peer_closed);
    bool skip_message(attempt& current);
    void pass_on_when_due(attempt& current);
    void pass_on(attempt& current);
    void fail(attempt_id id);
    void report_end(attempt_id id, attempt_outcome outcome);
    void close_old_idle_connections();
    attempt* find(attempt_id id);
    [[nodiscard]] answer_head describe(const message_head& head) const;

    event_loop& loop_;
    const clock_port& clock_;
    upstream_pool_limits limits_;
    header_names names_;
    call_engine* engine_ = nullptr;
    answer_sink* sink_ = nullptr;
    request_source* source_ = nullptr;
    std::unordered_map<attempt_id, std::unique_ptr<attempt>> attempts_;
    std::map<std::string, std::list<connection_ptr>> idle_;
    std::map<std::string, int> open_; ///< Connections per address, idle or not.
    timer sweep_;
    upstream_pool_counters counters_;
};

} // namespace anvilpost
