// Fakes of the call engine's ports, and a fixture that drives an engine through them in virtual time.
#pragma once

#include "core/calls/call_engine.h"
#include "support/split_mix.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace anvilpost::testing {

using namespace std::chrono_literals;

/// A clock that advances only when the test says so.
class manual_clock : public clock_port {
public:
    [[nodiscard]] time_point now() const override { return now_; }
    void advance(duration by) { now_ += by; }

    time_point now_{1h};
};

class recording_upstreams : public upstream_port {
public:
    void start(const attempt_order& order) override { started_.push_back(order); }
    void cancel(attempt_id attempt) override { cancelled_.push_back(attempt); }

    [[nodiscard]] const attempt_order& last() const { return started_.back(); }

    std::vector<attempt_order> started_;
    std::vector<attempt_id> cancelled_;
};

/// Records which calls were rejected, relayed or aborted. `responses_` counts the rejections and relays of
/// each call, of which there should be at most one.
class recording_callers : public caller_port {
public:
    void reject(call_id call, const problem& why) override
    {
        rejected_[call] = why;
        ++responses_[call];
    }
    void relay(call_id call, attempt_id attempt) override
    {
        relayed_[call] = attempt;
        ++responses_[call];
    }
    void abort(call_id call) override { aborted_.push_back(call); }
    [[nodiscard]] relay_progress progress_of(call_id call) const override { return progress_.at(call); }

    std::map<call_id, problem> rejected_;
    std::map<call_id, attempt_id> relayed_;
    std::map<call_id, int> responses_;
    std::vector<call_id> aborted_;
    std::map<call_id, relay_progress> progress_; ///< Set by the test.
};

/// Records claims. It decides none: tests call `call_engine::on_claim_decided` themselves.
class recording_claims : public claim_port {
public:
    void claim(call_id call, const std::string&, const std::string&) override { claimed_.push_back(call); }
    void release(call_id call) override { released_.push_back(call); }
    void keep(call_id call) override { kept_.push_back(call); }

    std::vector<call_id> claimed_;
    std::vector<call_id> released_;
    std::vector<call_id> kept_;
};

class recording_observer : public call_observer {
public:
    void on_call_finished(const call_record& record) override { records_.push_back(record); }
    void on_decision(const call_decision& decision) override { last_decision_ = decision; }
    void on_pause_asked(const std::string&, const std::string& upstream, duration pause) override
    {
        pauses_.push_back({upstream, pause});
    }
    std::vector<call_record> records_;
    call_decision last_decision_;
    std::vector<std::pair<std::string, duration>> pauses_;
};

/// A call engine with fakes for its ports and one service "desk" of `upstreams` upstreams u1, u2, ...
struct engine_fixture {
    explicit engine_fixture(int upstreams = 3, int slots = 2)
    {
        service_config service;
        service.hosts_ = {"desk.example"};
        service.policy_.slots_ = slots;
        for (int i = 1; i <= upstreams; ++i) {
            service.upstreams_["u" + std::to_string(i)] = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i),
                                                           "", "", upstream_state::active};
        }
        config_.revision_ = 1;
        config_.services_["desk"] = service;
        engine_.apply(config_);
    }

    /// Starts a call to "desk" with a fingerprint of its own.
    call_id send(bool repeatable, const std::string& key = "", duration timeout = 1s)
    {
        call request;
        request.id_ = call_id{next_call_++};
        request.service_ = "desk";
        request.repeatable_ = repeatable;
        request.idempotency_key_ = key;
        request.fingerprint_ = static_cast<std::uint64_t>(request.id_);
        request.arrival_ = clock_.now();
        request.deadline_ = clock_.now() + timeout;
        engine_.on_call(request);
        return request.id_;
    }

    /// Delivers the head of a response and, if the engine relays it, the end of the attempt.
    void answer(attempt_id attempt, int status = 200)
    {
        engine_.on_response_started(attempt, {status});
        if (callers_.relayed_.end() !=
            std::find_if(callers_.relayed_.begin(), callers_.relayed_.end(),
                         [&](const auto& entry) { return entry.second == attempt; })) {
            engine_.on_attempt_ended(attempt, attempt_outcome::complete);
        }
    }

    /// Advances the clock and runs the engine's timers that are due then.
    void advance(duration by)
    {
        clock_.advance(by);
        engine_.on_wakeup();
    }

    manual_clock clock_;
    split_mix random_;
    recording_upstreams upstreams_;
    recording_callers callers_;
    recording_claims claims_;
    recording_observer observer_;
    configuration config_;
    call_engine engine_{{clock_, random_, upstreams_, callers_, claims_, observer_}};
    std::uint64_t next_call_ = 1;
};

} // namespace anvilpost::testing
