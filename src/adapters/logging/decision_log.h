// Logs finished calls and the call engine's decisions, one JSON line each, rate-limited per kind of line.
#pragma once

#include "adapters/logging/line_limiter.h"
#include "ports/call_observer.h"
#include "ports/clock_port.h"

#include <array>
#include <map>

namespace anvilpost {

/// Successful and failed calls have separate limits, so that a flood of one does not hide the other.
class decision_log : public call_observer {
public:
    explicit decision_log(const clock_port& clock) : clock_(clock) {}

    void on_call_finished(const call_record& record) override;
    void on_decision(const call_decision& decision) override;
    void on_rate_limit_changed(const std::string& service, const std::string& upstream,
                               std::optional<double> per_second) override;
    void on_warm_up(const std::string& service, const std::string& upstream, duration left) override;
    void on_pause_asked(const std::string& service, const std::string& upstream, duration pause) override;

private:
    const clock_port& clock_;
    line_limiter success_limiter_;
    line_limiter failure_limiter_;
    line_limiter rate_limit_limiter_;
    line_limiter pause_limiter_;
    line_limiter warm_up_limiter_;
    std::map<decision_kind, line_limiter> decision_limiters_;
};

} // namespace anvilpost
