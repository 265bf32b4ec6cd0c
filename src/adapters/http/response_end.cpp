// Asks the socket for errors and for bytes that the peer has not acknowledged.
#include "adapters/http/response_end.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace anvilpost {
namespace {

/// True when the connection has failed after its receiving direction was closed. Reading does not report
/// that.
bool has_socket_error(evutil_socket_t socket)
{
    int error = 0;
    socklen_t length = sizeof error;
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0;
}

/// True when the peer's system has acknowledged all that was written.
bool all_output_acknowledged(bufferevent* stream)
{
    if (evbuffer_get_length(bufferevent_get_output(stream)) > 0) {
        return false;
    }
    int unacknowledged_bytes = 0;
    const bool known = ioctl(bufferevent_getfd(stream), SIOCOUTQ, &unacknowledged_bytes) == 0;
    return !known || unacknowledged_bytes == 0;
}

} // namespace

void receive_remaining_input(bufferevent* stream, std::size_t max_bytes)
{
    evbuffer* input = bufferevent_get_input(stream);
    // A bufferevent lets only its own read event append to its input.
    evbuffer_unfreeze(input, 0);
    while (evbuffer_get_length(input) < max_bytes &&
           evbuffer_read(input, bufferevent_getfd(stream), -1) > 0) {
    }
    evbuffer_freeze(input, 0);
}

read_status read_response(message_reader& reader, bufferevent* stream, receive_state state)
{
    const auto outcome = reader.feed(bufferevent_get_input(stream));
    if (outcome != read_status::more || state == receive_state::open) {
        return outcome;
    }
    const bool ends_with_connection = reader.head_complete() && reader.head().close_delimited_;
    if (state == receive_state::reset || !ends_with_connection ||
        has_socket_error(bufferevent_getfd(stream))) {
        return read_status::malformed;
    }
    return all_output_acknowledged(stream) ? reader.on_end() : read_status::more;
}

} // namespace anvilpost
