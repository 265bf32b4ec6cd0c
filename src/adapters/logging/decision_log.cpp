// Writes the log lines of calls and decisions. docs/OPERATIONS.md describes their fields.
#include "adapters/logging/decision_log.h"

#include "adapters/logging/json_log.h"

namespace anvilpost {
namespace {

double milliseconds(duration length)
{
    constexpr double microseconds_per_millisecond = 1000;
    return static_cast<double>(length.count()) / microseconds_per_millisecond;
}

/// Server errors, and calls whose caller went away (status 0), count as failed.
bool served(const call_record& record)
{
    return record.status_ >= 200 && record.status_ < 500;
}

} // namespace

void decision_log::on_call_finished(const call_record& record)
{
    auto& limiter = served(record) ? success_limiter_ : failure_limiter_;
    const auto suppressed_lines = limiter.admit(clock_.now());
    if (!suppressed_lines) {
        return;
    }
    write_log(served(record) ? log_level::info : log_level::warning, "call finished",
              {{"request_id", record.request_id_},
               {"route", record.route_},
               {"service", record.service_},
               {"upstream", record.upstream_},
               {"status", record.status_},
               {"problem", record.problem_ ? name_of(*record.problem_) : ""},
               {"verdict", name_of(record.verdict_)},
               {"latency_ms", milliseconds(record.latency_)},
               {"attempts", record.attempts_},
               {"left_out", *suppressed_lines}});
}

void decision_log::on_rate_limit_changed(const std::string& service, const std::string& upstream,
                                         std::optional<double> per_second)
{
    const auto suppressed_lines = rate_limit_limiter_.admit(clock_.now());
    if (!suppressed_lines) {
        return;
    }
    write_log(log_level::info, "upstream_rate_limit",
              {{"service", service},
               {"upstream", upstream},
               {"per_second", per_second ? nlohmann::json(*per_second) : nlohmann::json()},
               {"left_out", *suppressed_lines}});
}

void decision_log::on_pause_asked(const std::string& service, const std::string& upstream, duration pause)
{
    const auto suppressed_lines = pause_limiter_.admit(clock_.now());
    if (!suppressed_lines) {
        return;
    }
    write_log(log_level::info, "upstream_pause",
              {{"service", service},
               {"upstream", upstream},
               {"pause_ms", milliseconds(pause)},
               {"left_out", *suppressed_lines}});
}

void decision_log::on_warm_up(const std::string& service, const std::string& upstream, duration left)
{
    const auto suppressed_lines = warm_up_limiter_.admit(clock_.now());
    if (!suppressed_lines) {
        return;
    }
    write_log(log_level::info, "upstream_warming_up",
              {{"service", service},
               {"upstream", upstream},
               {"left_ms", milliseconds(left)},
               {"left_out", *suppressed_lines}});
}

void decision_log::on_decision(const call_decision& decision)
{
    const auto suppressed_lines = decision_limiters_[decision.kind_].admit(clock_.now());
    if (!suppressed_lines) {
        return;
    }
    const auto& decided_call = *decision.call_;
    const auto now = clock_.now();
    write_log(log_level::info, name_of(decision.kind_),
              {{"request_id", decided_call.request_id_},
               {"route", decided_call.route_},
               {"service", decided_call.service_},
               {"priority", decided_call.priority_},
               {"repeatable", decided_call.repeatable_},
               {"to_objective_ms", milliseconds(decided_call.objective_ - now)},
               {"to_deadline_ms", milliseconds(decided_call.deadline_ - now)},
               {"upstream", decision.upstream_},
               {"report_age_ms", decision.report_age_ ? nlohmann::json(milliseconds(*decision.report_age_))
                                                      : nlohmann::json()},
               {"slowdown", decision.slowdown_},
               {"occupancy", decision.occupancy_},
               {"expected_ms", milliseconds(decision.expected_finish_)},
               {"waiting", decision.waiting_},
               {"attempts", decision.attempts_},
               {"reason", decision.reason_},
               {"restricted", decision.restricted_},
               {"left_out", *suppressed_lines}});
}

} // namespace anvilpost
