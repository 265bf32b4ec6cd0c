// Port through which the core answers callers.
#pragma once

#include "vocabulary/call.h"
#include "vocabulary/problem.h"

namespace anvilpost {

/// Each call gets exactly one of `reject` and `relay`; `relay` may be followed by one `abort`.
class caller_port {
public:
    virtual ~caller_port() = default;

    /// Answers with a problem document that anvilpost generated.
    virtual void reject(call_id call, const problem& why) = 0;

    /// Passes on the answer of an attempt whose head has arrived.
    virtual void relay(call_id call, attempt_id attempt) = 0;

    /// Breaks off a relayed answer, so that the caller cannot take it for a whole one.
    virtual void abort(call_id call) = 0;
};

} // namespace anvilpost
