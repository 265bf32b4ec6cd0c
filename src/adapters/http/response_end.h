// Decides whether a response that was read from a connection is whole.
#pragma once

#include "adapters/http/message_reader.h"

namespace anvilpost {

/// What is known of the receiving direction of a connection.
enum class receive_state {
    open,   ///< Further bytes may arrive.
    closed, ///< The peer has closed it; all that it sent has arrived.
    reset,  ///< It has failed; bytes may be missing.
};

/// Reads what arrived before a connection failed, up to `max_bytes`, into the stream's input buffer. An error
/// of writing is reported even while input is left to read.
void receive_remaining_input(bufferevent* stream, std::size_t max_bytes);

/// Feeds the stream's input to the reader. Returns `complete` only when the response is known to be whole:
/// its own framing says so, or it is delimited by the close of its connection, that was an orderly one, and
/// the peer has received the whole request. While it has not, a reset may still follow, and the result is
/// `more`: call again some time later.
read_status read_response(message_reader& reader, bufferevent* stream, receive_state state);

} // namespace anvilpost
