// An engine whose one service chooses upstreams with the earliest-finish picker, in virtual time.
#pragma once

#include "core/fakes.h"

namespace anvilpost::testing {

/// An engine with the earliest-finish picker for its service "desk", whose upstreams u1, u2, ... report their
/// load and slowdown.
struct earliest_finish_fixture : public engine_fixture {
    explicit earliest_finish_fixture(int upstreams, int slots = 6) : engine_fixture(upstreams, slots)
    {
        auto& policy = config_.services_["desk"].policy_;
        policy.picker_ = picker_kind::earliest_finish;
        policy.shared_retry_budget_ = true;
        policy.retry_share_ = 0.2;
        policy.retry_budget_slack_ = 100;
        policy.queue_length_ = 1000;
        ++config_.revision_;
        engine_.apply(config_);
        for (int i = 1; i <= upstreams; ++i) {
            report_load("u" + std::to_string(i), 1.0, 0, slots);
        }
    }

    void report_load(const std::string& upstream, double slowdown, double in_flight = 0, int slots = 6)
    {
        engine_.on_load("desk", upstream, {in_flight, slots, slowdown}, clock_.now());
    }

    call_id send_call(bool repeatable, duration objective = 300ms, duration timeout = 2s, int priority = 0)
    {
        call request;
        request.id_ = call_id{next_call_++};
        request.service_ = "desk";
        request.route_ = "desk";
        request.repeatable_ = repeatable;
        request.priority_ = priority;
        request.max_attempts_ = 2;
        request.fingerprint_ = static_cast<std::uint64_t>(request.id_);
        request.arrival_ = clock_.now();
        request.objective_ = clock_.now() + objective;
        request.deadline_ = clock_.now() + timeout;
        engine_.on_call(request);
        return request.id_;
    }

    /// Delivers a response in which the upstream of `attempt` states that it did not run the request.
    void refuse(attempt_id attempt)
    {
        response_head head;
        head.status_ = 503;
        head.not_run_ = true;
        engine_.on_response_started(attempt, head);
    }

    [[nodiscard]] const attempt_order& last() const { return upstreams_.last(); }
};

} // namespace anvilpost::testing
