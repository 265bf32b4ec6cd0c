// Port through which the core starts and cancels attempts at upstreams.
#pragma once

#include "vocabulary/call.h"

namespace anvilpost {

/// The implementation reports back through `call_engine::on_answer_started` and `on_attempt_ended`,
/// never from inside `start` or `cancel`.
class upstream_port {
public:
    virtual ~upstream_port() = default;

    /// Sends the request of call `order.call_` to an upstream.
    virtual void start(const attempt_order& order) = 0;

    /// Closes the attempt's connection. No further event of this attempt is reported.
    virtual void cancel(attempt_id attempt) = 0;
};

} // namespace anvilpost
