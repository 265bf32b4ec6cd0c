// What a node shows its operators of dispatch: in its status page, its metrics and its log.
#pragma once

#include "adapters/logging/line_limiter.h"
#include "core/dispatch/dispatch_exchange.h"

#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

nlohmann::json dispatch_status(const dispatch_exchange& dispatch);
void add_dispatch_metrics(std::string& text, const dispatch_exchange& dispatch);

/// Logs the slot requests that this node refuses as a dispatcher, a limited number of lines per second.
class slot_refusal_log {
public:
    explicit slot_refusal_log(const clock_port& clock) : clock_(clock) {}

    void add(const slot_refusal& refused);

private:
    const clock_port& clock_;
    line_limiter limiter_;
};

} // namespace anvilpost
