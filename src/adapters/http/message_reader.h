// Incremental parser of one HTTP/1.x message (request or response) from the input buffer of a connection;
// built on Boost.Beast's parser.
#pragma once

#include "adapters/http/header_rules.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>
#include <string>

namespace anvilpost {

struct evbuffer_deleter {
    void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};
using owned_evbuffer = std::unique_ptr<evbuffer, evbuffer_deleter>;

struct bufferevent_deleter {
    void operator()(bufferevent* stream) const { bufferevent_free(stream); }
};

/// Start line and headers of a message. `method_` and `target_` are set for requests, `status_` and
/// `reason_` for responses.
struct message_head {
    std::string method_;
    bool method_known_ = false;
    std::string target_;
    int status_ = 0;
    std::string reason_;
    bool http_1_1_ = true;
    bool keep_alive_ = true;
    bool close_delimited_ = false; ///< Delimited only by the close of the connection.
    header_list headers_;
};

enum class message_side { request, response };

/// Responses with a lower status are interim ones, which the final response follows (RFC 9110, section 15.2).
inline constexpr int first_final_status = 200;

/// State of the message after the bytes so far; `more`: incomplete, further bytes are needed.
enum class read_status { more, complete, malformed, head_too_large };

/// Reads a single message; a connection makes a new reader for the next one. Invariant: never consumes
/// bytes after the end of the message.
class message_reader {
public:
    /// `no_body`: the message is the response to a HEAD request, which has no body whatever its headers say.
    message_reader(message_side side, std::size_t max_head_bytes, bool no_body = false);
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;
    ~message_reader();

    /// Consumes the message's bytes from `input`.
    read_status feed(evbuffer* input);

    /// Called when the peer has closed. Completes a response that is delimited by the close of its
    /// connection; any other incomplete message is malformed.
    read_status on_end();

    /// True once any input has been received for the message.
    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] bool head_complete() const { return head_complete_; }
    [[nodiscard]] const message_head& head() const { return head_; }
    [[nodiscard]] message_head& head() { return head_; }

    /// Body bytes that the owner has not removed yet.
    [[nodiscard]] evbuffer* body() const { return body_.get(); }
    [[nodiscard]] std::size_t body_bytes_seen() const { return body_bytes_seen_; }

private:
    template <bool is_request>
    class parser;
    class parser_base;

    read_status outcome_ = read_status::more;
    message_head head_;
    owned_evbuffer body_;
    std::size_t body_bytes_seen_ = 0;
    bool started_ = false;
    bool head_complete_ = false;
    std::unique_ptr<parser_base> parser_;
};

} // namespace anvilpost
