// Tests of the call engine with the default policy: choice of upstreams, waiting, retries, hedges, claims,
// quarantine, and the verdict that the caller of a rejected call gets.
#include "core/fakes.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

TEST_CASE("a call to an unknown service is rejected as not run")
{
    engine_fixture fixture;
    call request;
    request.id_ = call_id{1};
    request.deadline_ = fixture.clock_.now() + 1s;
    fixture.engine_.on_call(request);
    REQUIRE(fixture.callers_.rejected_.at(call_id{1}).kind_ == problem_kind::unknown_service);
    REQUIRE(fixture.callers_.rejected_.at(call_id{1}).verdict_ == verdict::not_run);
}

TEST_CASE("an answered call is relayed once and leaves no call in flight and no timer")
{
    engine_fixture fixture;
    const auto call = fixture.send(true);
    fixture.answer(fixture.upstreams_.last().attempt_);
    REQUIRE(fixture.callers_.responses_.at(call) == 1);
    REQUIRE(fixture.engine_.calls_in_flight() == 0);
    REQUIRE_FALSE(fixture.engine_.next_wakeup().has_value());
}

TEST_CASE("an attempt whose request was not sent is repeated at another upstream")
{
    engine_fixture fixture;
    fixture.send(false);
    const auto first = fixture.upstreams_.last();
    fixture.engine_.on_attempt_ended(first.attempt_, attempt_outcome::not_sent);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    REQUIRE(fixture.upstreams_.last().upstream_ != first.upstream_);
}

TEST_CASE("an unrepeatable call whose connection broke after sending is never sent again")
{
    engine_fixture fixture;
    const auto call = fixture.send(false);
    fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::broken);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
    REQUIRE(fixture.callers_.rejected_.at(call).kind_ == problem_kind::upstream_broken);
    REQUIRE(fixture.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
}

TEST_CASE("a repeatable call whose connection broke is retried at another upstream within its budget")
{
    engine_fixture fixture;
    const auto call = fixture.send(true);
    fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::broken);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::broken);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    REQUIRE(fixture.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
}

TEST_CASE("a call waits when every slot is taken and starts when one becomes free")
{
    engine_fixture fixture(1, 1);
    fixture.send(true);
    const auto second = fixture.send(true);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
    fixture.answer(fixture.upstreams_.last().attempt_);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    REQUIRE(fixture.upstreams_.last().call_ == second);
}

TEST_CASE("a call that waited until its deadline is rejected as not run with a retry-after time")
{
    engine_fixture fixture(1, 1);
    fixture.send(true, "", 10s);
    const auto second = fixture.send(true, "", 100ms);
    fixture.advance(101ms);
    const auto& why = fixture.callers_.rejected_.at(second);
    REQUIRE(why.kind_ == problem_kind::deadline_exceeded);
    REQUIRE(why.verdict_ == verdict::not_run);
    REQUIRE(why.retry_after_.has_value());
}

TEST_CASE("a call without a response by its deadline is cancelled and rejected as may have run")
{
    engine_fixture fixture;
    const auto call = fixture.send(false, "", 100ms);
    fixture.advance(101ms);
    REQUIRE(fixture.callers_.rejected_.at(call).kind_ == problem_kind::deadline_exceeded);
    REQUIRE(fixture.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
    REQUIRE(fixture.upstreams_.cancelled_.size() == 1);
}

TEST_CASE("a leaving upstream gets no new call while its call in flight finishes")
{
    engine_fixture fixture(2, 4);
    fixture.send(true);
    const auto first = fixture.upstreams_.last();
    fixture.engine_.on_upstream_leaving("desk", first.upstream_, leaving_source::peer);
    for (int i = 0; i < 4; ++i) {
        fixture.send(true);
        REQUIRE(fixture.upstreams_.last().upstream_ != first.upstream_);
    }
    fixture.answer(first.attempt_);
    REQUIRE(fixture.callers_.relayed_.at(first.call_) == first.attempt_);
}

TEST_CASE("a leaving upstream stays leaving when a later configuration lists it as active")
{
    engine_fixture fixture(1, 4);
    fixture.engine_.on_upstream_leaving("desk", "u1", leaving_source::vm_list);
    fixture.config_.revision_ = 2;
    fixture.engine_.apply(fixture.config_);
    const auto call = fixture.send(true);
    REQUIRE(fixture.callers_.rejected_.at(call).kind_ == problem_kind::no_upstream);
}

TEST_CASE("a new incarnation at the same address receives calls again")
{
    engine_fixture fixture(1, 4);
    fixture.engine_.on_upstream_leaving("desk", "u1", leaving_source::vm_list);
    fixture.config_.revision_ = 2;
    fixture.config_.services_["desk"].upstreams_["u1"].incarnation_ = "second";
    fixture.engine_.apply(fixture.config_);
    fixture.send(true);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
}

TEST_CASE("removing a service lets its calls in flight finish")
{
    engine_fixture fixture(1, 4);
    const auto call = fixture.send(true);
    configuration empty;
    empty.revision_ = 2;
    fixture.engine_.apply(empty);
    fixture.answer(fixture.upstreams_.last().attempt_);
    REQUIRE(fixture.callers_.relayed_.contains(call));
}

TEST_CASE("a keyed unrepeatable call is forwarded only after its claim was granted")
{
    engine_fixture fixture;
    const auto call = fixture.send(false, "order-1");
    REQUIRE(fixture.upstreams_.started_.empty());
    fixture.engine_.on_claim_decided(call, claim_decision::granted);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
}

TEST_CASE("a duplicate claim is rejected as may have run and an unusable store as not run")
{
    engine_fixture fixture;
    const auto duplicate = fixture.send(false, "order-1");
    fixture.engine_.on_claim_decided(duplicate, claim_decision::duplicate);
    REQUIRE(fixture.callers_.rejected_.at(duplicate).verdict_ == verdict::may_have_run);
    const auto refused = fixture.send(false, "order-2");
    fixture.engine_.on_claim_decided(refused, claim_decision::store_unusable);
    REQUIRE(fixture.callers_.rejected_.at(refused).verdict_ == verdict::not_run);
    REQUIRE(fixture.upstreams_.started_.empty());
}

TEST_CASE("a claim granted after the deadline does not forward the request")
{
    engine_fixture fixture;
    const auto call = fixture.send(false, "order-1", 100ms);
    fixture.clock_.advance(200ms);
    fixture.engine_.on_claim_decided(call, claim_decision::granted);
    REQUIRE(fixture.upstreams_.started_.empty());
    REQUIRE(fixture.callers_.rejected_.at(call).verdict_ == verdict::not_run);
    REQUIRE(fixture.claims_.released_ == std::vector<call_id>{call});
}

TEST_CASE("a request that broke two upstreams is quarantined and other requests are not")
{
    engine_fixture fixture(4, 4);
    const auto send_crashing_request = [&] {
        call request;
        request.id_ = call_id{fixture.next_call_++};
        request.service_ = "desk";
        request.fingerprint_ = 77;
        request.arrival_ = fixture.clock_.now();
        request.deadline_ = fixture.clock_.now() + 1s;
        fixture.engine_.on_call(request);
        return request.id_;
    };
    std::set<std::string> broken;
    for (int i = 0; i < 8; ++i) {
        const auto before = fixture.upstreams_.started_.size();
        send_crashing_request();
        if (fixture.upstreams_.started_.size() > before) {
            broken.insert(fixture.upstreams_.last().upstream_);
            fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::broken);
        }
    }
    REQUIRE(broken.size() == 2);
    const auto last = send_crashing_request();
    REQUIRE(fixture.callers_.rejected_.at(last).kind_ == problem_kind::quarantined);
    const auto before = fixture.upstreams_.started_.size();
    fixture.send(true);
    REQUIRE(fixture.upstreams_.started_.size() == before + 1);
}

TEST_CASE("a caller that goes away cancels its attempt and releases its claim only if nothing was sent")
{
    engine_fixture fixture;
    const auto waiting = fixture.send(false, "order-1");
    fixture.engine_.on_caller_gone(waiting);
    REQUIRE(fixture.claims_.released_ == std::vector<call_id>{waiting});
    const auto running = fixture.send(false, "order-2");
    fixture.engine_.on_claim_decided(running, claim_decision::granted);
    fixture.engine_.on_caller_gone(running);
    REQUIRE(fixture.upstreams_.cancelled_.size() == 1);
    REQUIRE(fixture.claims_.kept_ == std::vector<call_id>{running});
}

TEST_CASE("a response that breaks off is aborted and not retried")
{
    engine_fixture fixture;
    const auto call = fixture.send(true);
    const auto attempt = fixture.upstreams_.last().attempt_;
    fixture.engine_.on_response_started(attempt, {200});
    fixture.engine_.on_attempt_ended(attempt, attempt_outcome::broken_answer);
    REQUIRE(fixture.callers_.aborted_ == std::vector<call_id>{call});
    REQUIRE(fixture.upstreams_.started_.size() == 1);
}

TEST_CASE("a slow repeatable call is hedged once and the loser is cancelled")
{
    engine_fixture fixture(4, 8);
    for (int i = 0; i < 40; ++i) {
        fixture.send(true);
        fixture.clock_.advance(10ms);
        fixture.answer(fixture.upstreams_.last().attempt_);
    }
    const auto before = fixture.upstreams_.started_.size();
    fixture.send(true);
    fixture.advance(11ms);
    REQUIRE(fixture.upstreams_.started_.size() == before + 2);
    const auto winner = fixture.upstreams_.started_[before + 1];
    const auto loser = fixture.upstreams_.started_[before];
    REQUIRE(winner.upstream_ != loser.upstream_);
    REQUIRE(winner.connection_ == connection_need::fresh);
    fixture.answer(winner.attempt_);
    REQUIRE(fixture.upstreams_.cancelled_ == std::vector<attempt_id>{loser.attempt_});
}

TEST_CASE("an unrepeatable call is never hedged")
{
    engine_fixture fixture(4, 8);
    for (int i = 0; i < 40; ++i) {
        fixture.send(true);
        fixture.clock_.advance(10ms);
        fixture.answer(fixture.upstreams_.last().attempt_);
    }
    const auto before = fixture.upstreams_.started_.size();
    fixture.send(false);
    fixture.advance(500ms);
    REQUIRE(fixture.upstreams_.started_.size() == before + 1);
}

TEST_CASE("each call is reported to the observer once, with a response that breaks off as a failure")
{
    engine_fixture fixture;
    fixture.send(true);
    fixture.answer(fixture.upstreams_.last().attempt_);
    REQUIRE(fixture.observer_.records_.size() == 1);
    REQUIRE(fixture.observer_.records_[0].status_ == 200);
    fixture.send(true);
    const auto attempt = fixture.upstreams_.last().attempt_;
    fixture.engine_.on_response_started(attempt, {200});
    REQUIRE(fixture.observer_.records_.size() == 1);
    fixture.engine_.on_attempt_ended(attempt, attempt_outcome::broken_answer);
    REQUIRE(fixture.observer_.records_.size() == 2);
    REQUIRE(fixture.observer_.records_[1].status_ == 502);
    const auto gone = fixture.send(true);
    fixture.engine_.on_caller_gone(gone);
    REQUIRE(fixture.observer_.records_.size() == 3);
    REQUIRE(fixture.observer_.records_[2].status_ == 0);
}
