// Implements the decision whether a request may be sent to an upstream.
#include "core/upstreams/send_gate.h"

#include <algorithm>

namespace anvilpost {

send_gate::changes send_gate::on_report(const self_report& report, bool served, time_point sent_at,
                                        time_point now)
{
    changes changed;
    if (report.leaving_) {
        changed.leaving_ = !reason_for_leaving();
        mark_leaving(leaving_source::upstream_itself, now);
    }
    if (report.retry_after_) {
        changed.paused_ = now >= paused_until_;
        paused_since_ = changed.paused_ ? now : paused_since_;
        paused_until_ = std::max(paused_until_, now + *report.retry_after_);
    }
    // Without a rate, only the entry's warm-up counts, as a sign that the upstream is slow.
    if (report.warm_up_left_ && warm_up_.per_second() > 0) {
        changed.warm_up_ = warm_up_.extend(*report.warm_up_left_, now);
    }
    changed.rate_limit_ = limit_.on_response(report.rate_limit_, served, sent_at, now);
    return changed;
}

void send_gate::set_configured(bool listed, upstream_state state)
{
    listed_ = listed;
    leaves_by_configuration_ = state == upstream_state::leaving || state == upstream_state::stopping;
}

bool send_gate::set_evacuated(bool evacuated, time_point now)
{
    const bool ends = evacuated_since_ && !evacuated;
    if (evacuated) {
        evacuated_since_ = evacuated_since_.value_or(now);
    }
    else {
        evacuated_since_.reset();
    }
    return ends;
}

void send_gate::mark_leaving(leaving_source source, time_point now)
{
    if (source != leaving_source::configuration && !sticky_leaving_) {
        sticky_leaving_ = source;
        leaving_since_ = now;
    }
}

std::optional<leaving_source> send_gate::reason_for_leaving() const
{
    return leaves_by_configuration_ ? std::optional(leaving_source::configuration) : sticky_leaving_;
}

std::optional<send_obstacle> send_gate::obstacle(send_purpose purpose, time_point now) const
{
    if (!listed_) {
        return send_obstacle::unlisted;
    }
    if (reason_for_leaving()) {
        return send_obstacle::leaving;
    }
    if (evacuated()) {
        return send_obstacle::evacuated;
    }
    if (now < paused_until_) {
        return send_obstacle::retry_after;
    }
    // Health probes would use up the few requests that an upstream in need accepts; its responses to calls
    // tell its load.
    const bool limited = (purpose == send_purpose::call && !limit_.allows(now)) ||
                         (purpose == send_purpose::health_probe && limit_.active());
    if (limited) {
        return send_obstacle::rate_limit;
    }
    // Health probes continue: they tell when the upstream is warm.
    const bool cold = purpose == send_purpose::call && !warm_up_.allows(now);
    return cold ? std::optional(send_obstacle::warming_up) : std::nullopt;
}

std::optional<send_restriction> send_gate::restriction(time_point now) const
{
    if (!listed_) {
        return send_restriction{send_obstacle::unlisted};
    }
    if (const auto source = reason_for_leaving()) {
        const bool since_known = sticky_leaving_.has_value();
        return send_restriction{send_obstacle::leaving, source,
                                since_known ? std::optional(leaving_since_) : std::nullopt};
    }
    if (evacuated()) {
        return send_restriction{send_obstacle::evacuated, std::nullopt, evacuated_since_};
    }
    if (limit_.active()) {
        const auto& latest = limit_.latest();
        return send_restriction{send_obstacle::rate_limit, std::nullopt, latest.learnt_at_, std::nullopt,
                                latest.per_second_};
    }
    if (warm_up_.active(now)) {
        return send_restriction{send_obstacle::warming_up, std::nullopt, warm_up_.began_at(),
                                warm_up_.ends_at(), warm_up_.per_second()};
    }
    if (now < paused_until_) {
        return send_restriction{send_obstacle::retry_after, std::nullopt, paused_since_, paused_until_};
    }
    return std::nullopt;
}

std::optional<send_permit> send_gate::take(send_purpose purpose, time_point now)
{
    if (obstacle(purpose, now)) {
        return std::nullopt;
    }
    if (purpose == send_purpose::call) {
        limit_.on_sent(now);
        warm_up_.on_sent(now);
    }
    return send_permit{};
}

} // namespace anvilpost
