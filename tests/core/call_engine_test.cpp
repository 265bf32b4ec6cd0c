// Tests of the call engine: who gets a call, what is retried, and which verdict a caller hears.
#include "core/fakes.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

TEST_CASE("a call to an unknown service is rejected as not run")
{
    engine_bench bench;
    call request;
    request.id_ = call_id{1};
    request.deadline_ = bench.clock_.now() + 1s;
    bench.engine_.on_call(request);
    REQUIRE(bench.callers_.rejected_.at(call_id{1}).kind_ == problem_kind::unknown_service);
    REQUIRE(bench.callers_.rejected_.at(call_id{1}).verdict_ == verdict::not_run);
}

TEST_CASE("an answered call is relayed once and leaves nothing behind")
{
    engine_bench bench;
    const auto call = bench.send(true);
    bench.answer(bench.upstreams_.last().attempt_);
    REQUIRE(bench.callers_.answers_.at(call) == 1);
    REQUIRE(bench.engine_.calls_in_flight() == 0);
    REQUIRE_FALSE(bench.engine_.next_wakeup().has_value());
}

TEST_CASE("an attempt of which nothing was sent is made again at another upstream")
{
    engine_bench bench;
    bench.send(false);
    const auto first = bench.upstreams_.last();
    bench.engine_.on_attempt_ended(first.attempt_, attempt_outcome::not_sent);
    REQUIRE(bench.upstreams_.started_.size() == 2);
    REQUIRE(bench.upstreams_.last().upstream_ != first.upstream_);
}

TEST_CASE("an unrepeatable call that broke after sending is never sent again")
{
    engine_bench bench;
    const auto call = bench.send(false);
    bench.engine_.on_attempt_ended(bench.upstreams_.last().attempt_, attempt_outcome::broken);
    REQUIRE(bench.upstreams_.started_.size() == 1);
    REQUIRE(bench.callers_.rejected_.at(call).kind_ == problem_kind::upstream_broken);
    REQUIRE(bench.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
}

TEST_CASE("a repeatable call that broke is tried at another upstream within the retry budget")
{
    engine_bench bench;
    const auto call = bench.send(true);
    bench.engine_.on_attempt_ended(bench.upstreams_.last().attempt_, attempt_outcome::broken);
    REQUIRE(bench.upstreams_.started_.size() == 2);
    bench.engine_.on_attempt_ended(bench.upstreams_.last().attempt_, attempt_outcome::broken);
    REQUIRE(bench.upstreams_.started_.size() == 2);
    REQUIRE(bench.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
}

TEST_CASE("a call waits when every slot is taken and starts when one becomes free")
{
    engine_bench bench(1, 1);
    bench.send(true);
    const auto second = bench.send(true);
    REQUIRE(bench.upstreams_.started_.size() == 1);
    bench.answer(bench.upstreams_.last().attempt_);
    REQUIRE(bench.upstreams_.started_.size() == 2);
    REQUIRE(bench.upstreams_.last().call_ == second);
}

TEST_CASE("a call that waited until its deadline is rejected as not run with a time to come back")
{
    engine_bench bench(1, 1);
    bench.send(true, "", 10s);
    const auto second = bench.send(true, "", 100ms);
    bench.advance(101ms);
    const auto& why = bench.callers_.rejected_.at(second);
    REQUIRE(why.kind_ == problem_kind::deadline_exceeded);
    REQUIRE(why.verdict_ == verdict::not_run);
    REQUIRE(why.retry_after_.has_value());
}

TEST_CASE("a call whose upstream is silent until the deadline may have run and is cancelled")
{
    engine_bench bench;
    const auto call = bench.send(false, "", 100ms);
    bench.advance(101ms);
    REQUIRE(bench.callers_.rejected_.at(call).kind_ == problem_kind::deadline_exceeded);
    REQUIRE(bench.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
    REQUIRE(bench.upstreams_.cancelled_.size() == 1);
}

TEST_CASE("a leaving upstream gets no new call while its call in flight finishes")
{
    engine_bench bench(2, 4);
    bench.send(true);
    const auto first = bench.upstreams_.last();
    bench.engine_.on_upstream_leaving("desk", first.upstream_, leaving_source::peer);
    for (int i = 0; i < 4; ++i) {
        bench.send(true);
        REQUIRE(bench.upstreams_.last().upstream_ != first.upstream_);
    }
    bench.answer(first.attempt_);
    REQUIRE(bench.callers_.relayed_.at(first.call_) == first.attempt_);
}

TEST_CASE("leaving stays in force when a later configuration still calls the upstream active")
{
    engine_bench bench(1, 4);
    bench.engine_.on_upstream_leaving("desk", "u1", leaving_source::vm_list);
    bench.config_.revision_ = 2;
    bench.engine_.apply(bench.config_);
    const auto call = bench.send(true);
    REQUIRE(bench.callers_.rejected_.at(call).kind_ == problem_kind::no_upstream);
}

TEST_CASE("a new incarnation at the same address receives calls again")
{
    engine_bench bench(1, 4);
    bench.engine_.on_upstream_leaving("desk", "u1", leaving_source::vm_list);
    bench.config_.revision_ = 2;
    bench.config_.services_["desk"].upstreams_["u1"].incarnation_ = "second";
    bench.engine_.apply(bench.config_);
    bench.send(true);
    REQUIRE(bench.upstreams_.started_.size() == 1);
}

TEST_CASE("removing a service lets its calls in flight finish")
{
    engine_bench bench(1, 4);
    const auto call = bench.send(true);
    configuration empty;
    empty.revision_ = 2;
    bench.engine_.apply(empty);
    bench.answer(bench.upstreams_.last().attempt_);
    REQUIRE(bench.callers_.relayed_.contains(call));
}

TEST_CASE("a keyed unrepeatable call is forwarded only after its claim was granted")
{
    engine_bench bench;
    const auto call = bench.send(false, "order-1");
    REQUIRE(bench.upstreams_.started_.empty());
    bench.engine_.on_claim_decided(call, claim_decision::granted);
    REQUIRE(bench.upstreams_.started_.size() == 1);
}

TEST_CASE("each claim decision other than granted rejects with its own verdict")
{
    engine_bench bench;
    const auto duplicate = bench.send(false, "order-1");
    bench.engine_.on_claim_decided(duplicate, claim_decision::duplicate);
    REQUIRE(bench.callers_.rejected_.at(duplicate).verdict_ == verdict::may_have_run);
    const auto refused = bench.send(false, "order-2");
    bench.engine_.on_claim_decided(refused, claim_decision::store_unusable);
    REQUIRE(bench.callers_.rejected_.at(refused).verdict_ == verdict::not_run);
    REQUIRE(bench.upstreams_.started_.empty());
}

TEST_CASE("a claim granted after the deadline does not forward the request")
{
    engine_bench bench;
    const auto call = bench.send(false, "order-1", 100ms);
    bench.clock_.advance(200ms);
    bench.engine_.on_claim_decided(call, claim_decision::granted);
    REQUIRE(bench.upstreams_.started_.empty());
    REQUIRE(bench.callers_.rejected_.at(call).verdict_ == verdict::not_run);
    REQUIRE(bench.claims_.released_ == std::vector<call_id>{call});
}

TEST_CASE("a request that broke two upstreams is quarantined, its bystanders are not")
{
    engine_bench bench(4, 4);
    const auto send_poison = [&] {
        call request;
        request.id_ = call_id{bench.next_call_++};
        request.service_ = "desk";
        request.fingerprint_ = 77;
        request.arrival_ = bench.clock_.now();
        request.deadline_ = bench.clock_.now() + 1s;
        bench.engine_.on_call(request);
        return request.id_;
    };
    std::set<std::string> broken;
    for (int i = 0; i < 8; ++i) {
        const auto before = bench.upstreams_.started_.size();
        send_poison();
        if (bench.upstreams_.started_.size() > before) {
            broken.insert(bench.upstreams_.last().upstream_);
            bench.engine_.on_attempt_ended(bench.upstreams_.last().attempt_, attempt_outcome::broken);
        }
    }
    REQUIRE(broken.size() == 2);
    const auto last = send_poison();
    REQUIRE(bench.callers_.rejected_.at(last).kind_ == problem_kind::quarantined);
    const auto before = bench.upstreams_.started_.size();
    bench.send(true);
    REQUIRE(bench.upstreams_.started_.size() == before + 1);
}

TEST_CASE("a caller that goes away cancels its attempt and gives its claim back only if nothing was sent")
{
    engine_bench bench;
    const auto waiting = bench.send(false, "order-1");
    bench.engine_.on_caller_gone(waiting);
    REQUIRE(bench.claims_.released_ == std::vector<call_id>{waiting});
    const auto running = bench.send(false, "order-2");
    bench.engine_.on_claim_decided(running, claim_decision::granted);
    bench.engine_.on_caller_gone(running);
    REQUIRE(bench.upstreams_.cancelled_.size() == 1);
    REQUIRE(bench.claims_.kept_ == std::vector<call_id>{running});
}

TEST_CASE("an answer that breaks off is aborted and not retried")
{
    engine_bench bench;
    const auto call = bench.send(true);
    const auto attempt = bench.upstreams_.last().attempt_;
    bench.engine_.on_answer_started(attempt, {200, false, std::nullopt});
    bench.engine_.on_attempt_ended(attempt, attempt_outcome::broken_answer);
    REQUIRE(bench.callers_.aborted_ == std::vector<call_id>{call});
    REQUIRE(bench.upstreams_.started_.size() == 1);
}

TEST_CASE("a slow repeatable call is hedged once and the loser is cancelled")
{
    engine_bench bench(4, 8);
    for (int i = 0; i < 40; ++i) {
        bench.send(true);
        bench.clock_.advance(10ms);
        bench.answer(bench.upstreams_.last().attempt_);
    }
    const auto before = bench.upstreams_.started_.size();
    bench.send(true);
    bench.advance(11ms);
    REQUIRE(bench.upstreams_.started_.size() == before + 2);
    const auto winner = bench.upstreams_.started_[before + 1];
    const auto loser = bench.upstreams_.started_[before];
    REQUIRE(winner.upstream_ != loser.upstream_);
    REQUIRE(winner.connection_ == connection_need::fresh);
    bench.answer(winner.attempt_);
    REQUIRE(bench.upstreams_.cancelled_ == std::vector<attempt_id>{loser.attempt_});
}

TEST_CASE("an unrepeatable call is never hedged")
{
    engine_bench bench(4, 8);
    for (int i = 0; i < 40; ++i) {
        bench.send(true);
        bench.clock_.advance(10ms);
        bench.answer(bench.upstreams_.last().attempt_);
    }
    const auto before = bench.upstreams_.started_.size();
    bench.send(false);
    bench.advance(500ms);
    REQUIRE(bench.upstreams_.started_.size() == before + 1);
}

TEST_CASE("each call is observed once, an answer that breaks off as a failure")
{
    engine_bench bench;
    bench.send(true);
    bench.answer(bench.upstreams_.last().attempt_);
    REQUIRE(bench.observer_.records_.size() == 1);
    REQUIRE(bench.observer_.records_[0].status_ == 200);
    bench.send(true);
    const auto attempt = bench.upstreams_.last().attempt_;
    bench.engine_.on_answer_started(attempt, {200, false, std::nullopt});
    REQUIRE(bench.observer_.records_.size() == 1);
    bench.engine_.on_attempt_ended(attempt, attempt_outcome::broken_answer);
    REQUIRE(bench.observer_.records_.size() == 2);
    REQUIRE(bench.observer_.records_[1].status_ == 502);
    const auto gone = bench.send(true);
    bench.engine_.on_caller_gone(gone);
    REQUIRE(bench.observer_.records_.size() == 3);
    REQUIRE(bench.observer_.records_[2].status_ == 0);
}
