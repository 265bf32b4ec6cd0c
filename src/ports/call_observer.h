// Port through which the core reports the outcome of each call and its decisions about it, for logs, metrics
// and reports on the error budget's burn rate.
#pragma once

#include "vocabulary/call.h"
#include "vocabulary/enum_names.h"
#include "vocabulary/problem.h"

#include <map>
#include <string>

namespace anvilpost {

/// Kind of a decision that the call engine took about a call.
/// `forwarded`: to another node, whose name is the decision's reason.
enum class decision_kind { started, waits, extra_attempt, forwarded, attempt_failed, rejected };

template <>
struct enum_names<decision_kind> {
    static constexpr std::array<std::pair<decision_kind, std::string_view>, 6> table{{
        {decision_kind::started, "started"},
        {decision_kind::waits, "waits"},
        {decision_kind::extra_attempt, "extra_attempt"},
        {decision_kind::forwarded, "forwarded"},
        {decision_kind::attempt_failed, "attempt_failed"},
        {decision_kind::rejected, "rejected"},
    }};
};

/// A decision about a call and the inputs that it was based on.
struct call_decision {
    decision_kind kind_ = decision_kind::started;
    const call* call_ = nullptr; ///< Valid during the notification only.
    std::string upstream_;       ///< Upstream concerned; empty when none.
    std::string reason_;
    std::optional<duration> report_age_; ///< Age of the load report that the choice was based on.
    double slowdown_ = 1.0;              ///< Of the upstream; 1 is its usual speed.
    double occupancy_ = 0;               ///< Requests estimated to run or wait at the upstream.
    duration expected_finish_{};         ///< Estimated time until the upstream finishes the call.
    std::size_t waiting_ = 0;            ///< Calls that wait for a slot of the service.
    int attempts_ = 0;                   ///< Attempts of the call so far.
    /// Upstreams of the service that may get nothing now, by the reason; for calls that wait or are rejected.
    std::map<std::string, int> restricted_;
};

/// Outcome of one call as its caller saw it.
struct call_record {
    std::string request_id_;
    std::string route_;
    std::string service_;
    std::string upstream_;                ///< Empty when no upstream answered.
    std::string data_centre_;             ///< Data centre of the upstream; may be empty.
    int status_ = 0;                      ///< HTTP status passed to the caller; 0 when the caller went away.
    std::optional<problem_kind> problem_; ///< Set when anvilpost generated the response.
    verdict verdict_ = verdict::not_run;
    duration latency_{}; ///< From the request's arrival to the response head.
    int attempts_ = 0;
};

class call_observer {
public:
    virtual ~call_observer() = default;
    virtual void on_call_finished(const call_record& record) = 0;
    virtual void on_decision(const call_decision&) {}

    /// Called when a response carried a load report. The names are those of the service and the upstream.
    virtual void on_load_reported(const std::string&, const std::string&, const load_report&) {}

    /// Called when a response to this node named a new rate limit in requests per second, or ended one
    /// (empty). The names are those of the service and the upstream.
    virtual void on_rate_limit_changed(const std::string&, const std::string&, std::optional<double>) {}

    /// Called when a response to this node stated that an upstream is cold for that long. The names are those
    /// of the service and the upstream.
    virtual void on_warm_up(const std::string&, const std::string&, duration) {}

    /// Called when a response to this node asked it for a pause. The names are those of the service and the
    /// upstream.
    virtual void on_pause_asked(const std::string&, const std::string&, duration) {}
};

} // namespace anvilpost
