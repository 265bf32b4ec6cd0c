// One accepted connection of a caller: reads requests one after the other, writes their answers, and
// notices when the caller goes away.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/message_reader.h"
#include "ports/clock_port.h"
#include "vocabulary/problem.h"

#include <event2/bufferevent.h>
#include <optional>

namespace anvilpost {

/// What callers may send, and how long they may take or stay idle.
struct caller_bounds {
    std::size_t max_header_bytes_ = 32UL * 1024;
    std::size_t max_body_bytes_ = 8UL * 1024 * 1024;
    duration header_timeout_ = std::chrono::seconds(60); ///< For a request's head, from its first byte.
    duration idle_timeout_ = std::chrono::seconds(60);   ///< Longest silence of a caller.
};

/// Status line, headers and framing of an answer.
struct answer_start {
    int status_ = 0;
    std::string reason_;
    header_list headers_;                 ///< End-to-end headers without framing.
    std::optional<std::uint64_t> length_; ///< Nothing: the length is not known yet.
    bool no_body_ = false;                ///< The answer has no body, whatever its length says.
};

class caller_connection;

/// Told by connections. `on_closed` is the last event of a connection; its owner destroys it later, not
/// from inside the event.
class caller_connection_events {
public:
    virtual ~caller_connection_events() = default;
    virtual void on_request(caller_connection& from) = 0;
    virtual void on_bad_request(caller_connection& from, const problem& why) = 0;
    virtual void on_answer_progress(caller_connection& to) = 0; ///< All bytes so far were written.
    virtual void on_closed(caller_connection& from) = 0;
};

/// Invariants: one request is served at a time; an answer that was not ended is never followed by another
/// one; an answer that is cut off ends with a reset.
class caller_connection {
public:
    caller_connection(const event_loop& loop, const clock_port& clock, const caller_bounds& bounds,
                      int socket, caller_connection_events& events);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    ~caller_connection();

    /// The request that is being served. Must not be called while none is.
    [[nodiscard]] message_reader& request() { return *reader_; }

    void start_answer(const answer_start& start);
    void add_body(evbuffer* bytes);
    void end_answer();

    /// Asks the caller to close the connection after the present or next answer.
    void close_after_answer() { closing_ = true; }

    /// Closes at once if no request has begun to arrive.
    void close_if_idle();

    /// Breaks the connection off with a reset.
    void abort();

    /// Acts on time-outs; to be called now and then.
    void check_time();

    [[nodiscard]] bool serving() const { return state_ == state::serving; }
    [[nodiscard]] bool idle() const;
    [[nodiscard]] bool answering() const { return answer_started_; }
    [[nodiscard]] std::size_t unsent_bytes() const;
    [[nodiscard]] std::size_t arriving_bytes() const;

private:
    enum class state { receiving, serving, lingering, closed };

    void on_input();
    void on_output();
    void on_event(short what);
    void receive();
    void next_request();
    void refuse(problem_kind kind, std::string detail);
    void start_lingering();
    void close();

    const clock_port& clock_;
    const caller_bounds& bounds_; ///< Of the server; may change at any time.
    caller_connection_events& events_;
    bufferevent* stream_;
    state state_ = state::receiving;
    std::unique_ptr<message_reader> reader_;
    time_point last_progress_;
    time_point first_byte_{};
    bool closing_ = false;
    bool answer_started_ = false;
    bool answer_ended_ = false;
    bool chunked_answer_ = false;
    bool bodiless_answer_ = false;
    bool caller_is_done_sending_ = false;
    bool told_to_continue_ = false;
};

} // namespace anvilpost
