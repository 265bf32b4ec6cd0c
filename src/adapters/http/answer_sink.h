// Interface by which upstream_pool hands the body of a relayed answer to the caller's side, and by
// which the caller's side slows the upstream down.
#pragma once

#include "vocabulary/call.h"

struct evbuffer;

namespace anvilpost {

class answer_sink {
public:
    virtual ~answer_sink() = default;

    /// Takes all bytes out of `bytes`. Returns false when the upstream must pause.
    virtual bool on_body(call_id call, evbuffer* bytes) = 0;

    /// The whole body has been handed over.
    virtual void on_body_end(call_id call) = 0;
};

/// What a caller's request looks like to the upstream side.
struct outgoing_request;

class request_source {
public:
    virtual ~request_source() = default;

    /// Returns the request of a call, or nullptr when the caller is gone. Valid until the next event.
    virtual const outgoing_request* request_of(call_id call) = 0;
};

} // namespace anvilpost
