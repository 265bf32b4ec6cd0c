// Port through which the core asks whether a call of an organisation with a limit may run. An organisation's
// limit holds over all nodes together, so the answer may need a round trip to another node.
#pragma once

#include "vocabulary/call.h"

#include <chrono>
#include <string>

namespace anvilpost {

/// Whether a call may run.
struct quota_decision {
    bool admitted_ = false;
    std::chrono::milliseconds retry_after_{0}; ///< When not admitted: when its caller should try again.
};

class quota_port {
public:
    virtual ~quota_port() = default;

    /// Requests a decision at the latest by `answer_by`. It is delivered through
    /// `call_engine::on_quota_decided`, possibly before this function returns.
    virtual void admit(call_id call, const std::string& organisation, time_point answer_by) = 0;

    /// Withdraws a request that has no decision yet.
    virtual void withdraw(call_id call, const std::string& organisation) = 0;

    /// Returns what a call that was admitted at `admitted_at` did not use, since it was certainly not run at
    /// the upstreams of this node. Has no effect where too much time has passed.
    virtual void refund(const std::string& organisation, time_point admitted_at) = 0;
};

} // namespace anvilpost
