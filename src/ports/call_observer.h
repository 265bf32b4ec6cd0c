// Port through which the core tells what became of each call, for metrics and burn reports.
#pragma once

#include "vocabulary/call.h"
#include "vocabulary/enum_names.h"
#include "vocabulary/problem.h"

namespace anvilpost {

/// A decision of the engine about a call.
enum class decision_kind { started, waits, extra_attempt, attempt_failed, rejected };

template <>
struct enum_names<decision_kind> {
    static constexpr std::array<std::pair<decision_kind, std::string_view>, 5> table{{
        {decision_kind::started, "started"},
        {decision_kind::waits, "waits"},
        {decision_kind::extra_attempt, "extra_attempt"},
        {decision_kind::attempt_failed, "attempt_failed"},
        {decision_kind::rejected, "rejected"},
    }};
};

/// What was decided and the inputs that decided it.
struct call_decision {
    decision_kind kind_ = decision_kind::started;
    const call* call_ = nullptr; ///< Valid during the notification only.
    std::string upstream_;
    std::string reason_;
    std::optional<duration> report_age_; ///< Of the load report that the choice rested on.
    double slowdown_ = 1.0;
    double occupancy_ = 0;
    duration expected_finish_{};
    std::size_t waiting_ = 0;
    int attempts_ = 0;
};

/// The end of one call as its caller saw it.
struct call_record {
    std::string request_id_;
    std::string route_;
    std::string service_;
    std::string upstream_;                ///< Empty when no upstream answered.
    std::string data_centre_;             ///< Of the upstream; may be empty.
    int status_ = 0;                      ///< HTTP status passed to the caller; 0 when the caller went away.
    std::optional<problem_kind> problem_; ///< Set when anvilpost generated the answer.
    verdict verdict_ = verdict::not_run;
    duration latency_{}; ///< From arrival to the answer's head.
    int attempts_ = 0;
};

class call_observer {
public:
    virtual ~call_observer() = default;
    virtual void on_call_finished(const call_record& record) = 0;
    virtual void on_decision(const call_decision&) {}

    /// An answer told the load of its upstream.
    virtual void on_load_reported(const std::string&, const std::string&, const load_report&) {}
};

} // namespace anvilpost
