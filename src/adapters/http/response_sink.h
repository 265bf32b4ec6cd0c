// Interfaces between the two halves of a proxied call. Through `response_sink` the upstream side
// (upstream_pool) delivers the body of a response to the caller (client) side, which can apply
// back-pressure. Through `request_source` the upstream side looks up the request to send.
#pragma once

#include "vocabulary/call.h"

#include <cstddef>

struct evbuffer;

namespace anvilpost {

/// Receives the body of the response that is relayed to a call's caller.
class response_sink {
public:
    virtual ~response_sink() = default;

    /// Removes all bytes from `bytes`. Returns false to apply back-pressure: the pool then stops reading
    /// the response until `upstream_pool::resume` is called.
    virtual bool on_body(call_id call, evbuffer* bytes) = 0;

    /// Returns how many bytes of one response may be held at present.
    [[nodiscard]] virtual std::size_t body_limit() const = 0;

    /// Called once, after the last byte of the body was delivered.
    virtual void on_body_end(call_id call) = 0;
};

/// The request as it is sent upstream; defined in outgoing_request.h.
struct outgoing_request;

/// Gives access to the requests of calls that are in progress.
class request_source {
public:
    virtual ~request_source() = default;

    /// Returns the request of a call, or nullptr when the caller has disconnected. The pointer is valid
    /// until the next event of the event loop.
    virtual const outgoing_request* request_of(call_id call) = 0;
};

} // namespace anvilpost
