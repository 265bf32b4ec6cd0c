// Port through which the core sends requests to upstreams. One request sent to one upstream is an attempt.
#pragma once

#include "vocabulary/call.h"

namespace anvilpost {

/// Tells to which upstreams the node that will send a request has connections.
class idle_connections {
public:
    virtual ~idle_connections() = default;

    /// True when a request of that need can probably be sent to the address on an open, idle connection.
    [[nodiscard]] virtual bool has_idle_connection(const std::string&, std::uint16_t, connection_need) const
    {
        return false;
    }
};

/// The implementation reports the progress of an attempt through `call_engine::on_response_started` and
/// `on_attempt_ended`, never from inside `start` or `cancel`.
class upstream_port : public idle_connections {
public:
    /// Sends the request of call `order.call_` to the upstream that `order` names.
    virtual void start(const attempt_order& order) = 0;

    /// Closes the attempt's connection. No further events of this attempt are reported.
    virtual void cancel(attempt_id attempt) = 0;
};

} // namespace anvilpost
