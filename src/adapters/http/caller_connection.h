// One accepted connection of a caller (an HTTP client): reads its requests one after the other, writes
// their responses, enforces size limits and timeouts, and detects when the caller disconnects.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/large_response_group.h"
#include "adapters/http/message_reader.h"
#include "adapters/http/unsent_memory.h"
#include "ports/clock_port.h"
#include "vocabulary/problem.h"

#include <event2/bufferevent.h>
#include <optional>

namespace anvilpost {

/// Limits on a caller's requests, and timeouts for receiving them and for idle connections.
struct caller_connection_limits {
    std::size_t max_header_bytes_ = 32UL * 1024;
    std::size_t max_body_bytes_ = 8UL * 1024 * 1024;
    duration header_timeout_ = std::chrono::seconds(60); ///< For a request's head, from its first byte.
    duration idle_timeout_ = std::chrono::seconds(60);   ///< Without progress in reading or writing.
};

/// Status line, headers and framing of a response to a caller.
struct response_start {
    int status_ = 0;
    std::string reason_;
    header_list headers_;                 ///< End-to-end headers, without Content-Length.
    std::optional<std::uint64_t> length_; ///< Not set while it is not known.
    bool no_body_ = false;                ///< The response has no body, whatever `length_` says.
};

/// Memory for the requests that are arriving on all connections of a server.
struct arriving_memory {
    std::size_t max_bytes_ = 0;
    std::size_t used_bytes_ = 0; ///< Sum of the connections' `arriving_bytes()`.
};

class caller_connection;

/// Receives the events of connections. `on_closed` is the last event of a connection; the receiver may
/// destroy the connection only after the event has returned.
class caller_connection_events {
public:
    virtual ~caller_connection_events() = default;
    /// A complete request has arrived; `from.request()` returns it.
    virtual void on_request(caller_connection& from) = 0;
    /// The request cannot be read or did not arrive in time; the receiver answers with `why`.
    virtual void on_bad_request(caller_connection& from, const problem& why) = 0;
    /// All bytes of the response so far were written to the socket.
    virtual void on_output_flushed(caller_connection& to) = 0;
    virtual void on_closed(caller_connection& from) = 0;
};

/// State machine of a caller's connection. Invariants: one request is served at a time; the next response
/// starts only after the previous one is complete; a response that is cut off ends with a TCP reset, so that
/// the caller cannot take it for a complete one.
class caller_connection {
public:
    caller_connection(const event_loop& loop, const clock_port& clock, const caller_connection_limits& limits,
                      arriving_memory& memory, unsent_memory& unsent, int socket,
                      caller_connection_events& events);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// The request that is being served. May be called only while `serving()` is true.
    [[nodiscard]] message_reader& request() { return *reader_; }

    /// The response about to be started is a large one: it is written at the rate of the group, until
    /// `leave_group` is called.
    void join_group(large_response_group& group);
    void leave_group() { membership_.reset(); }

    /// Writes the head of the response. Does nothing if no request is being served or a head was written
    /// already.
    void start_response(const response_start& start);
    /// Writes body bytes and removes them from `bytes`; discards them if the response has no body.
    void add_body(evbuffer* bytes);
    /// Completes the response; the next request is read once it has been written.
    void end_response();

    /// Closes the connection after the current or next response, which announces it with `Connection: close`.
    void close_after_response() { close_after_response_ = true; }

    /// Closes the connection if no byte of a request has arrived.
    void close_if_idle();

    /// Closes the connection with a TCP reset.
    void abort();

    /// Enforces the timeouts; the owner calls it periodically.
    void enforce_timeouts();

    [[nodiscard]] bool serving() const { return state_ == state::serving; }
    [[nodiscard]] bool idle() const;
    [[nodiscard]] bool answering() const { return response_started_; }
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Bytes received of a request that is not complete.
    [[nodiscard]] std::size_t arriving_bytes() const;

private:
    /// `lingering`: the last response is written; input is discarded until the caller closes.
    enum class state { receiving, serving, lingering, closed };

    void on_input();
    void on_output();
    void on_output_changed(std::size_t added, std::size_t removed);
    void on_event(short what);
    void receive();
    void next_request();
    void count_arriving_bytes();
    void refuse(problem_kind kind, std::string detail,
                std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
    void start_lingering();
    void close();

    const clock_port& clock_;
    const caller_connection_limits& connection_limits_; ///< Owned by the server; may change at any time.
    arriving_memory& memory_;                           ///< Owned by the server.
    std::size_t counted_bytes_ = 0;                     ///< This connection's part of `memory_`.
    unsent_memory& unsent_;                             ///< Owned by the server.
    caller_connection_events& events_;
    bufferevent* stream_;
    std::optional<large_response_group::membership> membership_; ///< While a large response is written.
    state state_ = state::receiving;
    std::unique_ptr<message_reader> reader_;
    time_point last_progress_at_;
    time_point first_byte_received_at_{};
    bool close_after_response_ = false;
    bool response_started_ = false;
    bool response_ended_ = false;
    bool chunked_response_ = false;
    bool response_without_body_ = false;
    bool caller_half_closed_ = false;
    bool sent_100_continue_ = false;
};

} // namespace anvilpost
