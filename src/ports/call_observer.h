// Port through which the core tells what became of each call, for metrics and burn reports.
#pragma once

#include "vocabulary/call.h"
#include "vocabulary/problem.h"

namespace anvilpost {

/// The end of one call as its caller saw it.
struct call_record {
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
};

} // namespace anvilpost
