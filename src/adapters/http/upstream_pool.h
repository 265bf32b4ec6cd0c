// Connections to upstreams. One request is outstanding per connection; a connection whose request was
// cancelled, timed out or answered with surplus bytes is closed and never used again.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/answer_sink.h"
#include "adapters/http/header_rules.h"
#include "core/calls/call_engine.h"
#include "ports/upstream_port.h"

#include <event2/http.h>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace anvilpost {

struct upstream_pool_limits {
    duration idle_life_ = std::chrono::seconds(5);  ///< Idle connections are closed after this.
    duration proof_life_ = std::chrono::seconds(1); ///< Age up to which an answer proves a connection.
    duration body_idle_timeout_ = std::chrono::seconds(30); ///< Longest silence inside an answer.
    std::size_t max_header_bytes_ = 64UL * 1024;
    std::size_t max_chunk_bytes_ = 4UL * 1024 * 1024; ///< Largest chunk of a chunked answer.
};

/// Counters for the metrics endpoint.
struct upstream_pool_counters {
    std::uint64_t connections_opened_ = 0;
    std::uint64_t connections_reused_ = 0;
    std::uint64_t most_open_ = 0; ///< Most connections open to one upstream at the same time.
    /// Connections closed because bytes arrived that no request asked for.
    std::uint64_t surplus_answers_ = 0;
};

/// Invariants: no upstream has more connections than the latest order's limit, but for attempts that were
/// started under a greater one; every attempt in `attempts_` has exactly one connection; a connection is
/// either idle or owned by one attempt.
class upstream_pool : public upstream_port {
public:
    upstream_pool(event_loop& loop, const clock_port& clock, upstream_pool_limits limits);
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

    /// Headers of an attempt's answer; valid from `on_answer_started` until the attempt ends.
    [[nodiscard]] const header_list& answer_headers(attempt_id id) const;

    [[nodiscard]] int answer_status(attempt_id id) const;

    [[nodiscard]] const upstream_pool_counters& counters() const { return counters_; }

private:
    struct connection {
        upstream_pool& pool_;
        std::string address_;
        evhttp_connection* handle_ = nullptr;
        time_point last_used_{};
        std::size_t bytes_written_ = 0; ///< Since the current request started.
        bool closed_ = false;
        attempt_id attempt_{}; ///< The attempt that last used it.
    };
    using connection_ptr = std::unique_ptr<connection>;

    struct attempt {
        upstream_pool& pool_;
        attempt_order order_;
        connection_ptr connection_;
        header_list answer_headers_;
        int answer_status_ = 0;
        bool head_seen_ = false;
        bool head_refused_ = false;
        bool ended_ = false;
        bool head_request_ = false;
    };

    connection_ptr take_connection(const attempt_order& order);
    connection_ptr open_connection(const attempt_order& order);
    bool reusable(const connection& idle) const;
    void retire(connection_ptr closing);
    void keep_or_retire(connection_ptr used, bool may_keep, int limit);
    void make_room(const std::string& address, int limit);
    int on_head(attempt& current, evhttp_request* answer);
    void on_body(attempt& current, evhttp_request* answer);
    void on_done(attempt& current, evhttp_request* answer);
    void report_end(attempt_id id, attempt_outcome outcome);
    void close_old_idle_connections();
    void forget_closed(connection* closed);
    void fail_oversized(attempt_id id);

    event_loop& loop_;
    const clock_port& clock_;
    upstream_pool_limits limits_;
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
