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

/// Feeds the stream's input to the reader. Returns `complete` only when the response is known to be whole:
/// its own framing says so, or it is delimited by the close of its connection, that was an orderly one, and
/// the peer has received the whole request. While it has not, a reset may still follow, and the result is
/// `more`: call again some time later.
read_status read_response(message_reader& reader, bufferevent* stream, receive_state state);

} // namespace anvilpost
