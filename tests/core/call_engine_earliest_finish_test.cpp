// Tests of the call engine with the earliest-finish picker, which chooses upstreams by their reported speed
// and load: upstreams that are several times slower than usual, calls near and above capacity, and refusals
// by upstreams.
#include "core/earliest_finish_fixture.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

TEST_CASE("calls go to the upstream with the lowest reported slowdown")
{
    earliest_finish_fixture fixture(3);
    fixture.report_load("u1", 7.0);
    fixture.report_load("u3", 7.0);
    for (int i = 0; i < 4; ++i) {
        fixture.send_call(true);
        REQUIRE(fixture.last().upstream_ == "u2");
    }
}

TEST_CASE("an unrepeatable call that an upstream refused without running it is sent to another one")
{
    earliest_finish_fixture fixture(3);
    const auto call = fixture.send_call(false);
    const auto first = fixture.last();
    fixture.refuse(first.attempt_);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    REQUIRE(fixture.last().upstream_ != first.upstream_);
    fixture.answer(fixture.last().attempt_);
    REQUIRE(fixture.callers_.relayed_.contains(call));
}

TEST_CASE("a call that every tried upstream refused is rejected as not run")
{
    earliest_finish_fixture fixture(3);
    const auto call = fixture.send_call(false);
    fixture.refuse(fixture.last().attempt_);
    fixture.refuse(fixture.last().attempt_);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    const auto& why = fixture.callers_.rejected_.at(call);
    REQUIRE(why.verdict_ == verdict::not_run);
    REQUIRE(status_of(why.kind_) == 503);
    REQUIRE(why.retry_after_.has_value());
}

TEST_CASE("a repeatable call that may have run is still rejected as such after a later upstream refused it")
{
    earliest_finish_fixture fixture(3);
    const auto call = fixture.send_call(true);
    fixture.engine_.on_attempt_ended(fixture.last().attempt_, attempt_outcome::broken);
    fixture.refuse(fixture.last().attempt_);
    REQUIRE(fixture.callers_.rejected_.at(call).verdict_ == verdict::may_have_run);
    REQUIRE(status_of(fixture.callers_.rejected_.at(call).kind_) == 502);
}

TEST_CASE("a call that may have run and then finds no free slot in time is not rejected as not run")
{
    earliest_finish_fixture fixture(2);
    const auto call = fixture.send_call(true, 300ms, 500ms);
    const auto first = fixture.last();
    const std::string other = first.upstream_ == "u1" ? "u2" : "u1";
    fixture.report_load(other, 1.0, 6);
    fixture.engine_.on_attempt_ended(first.attempt_, attempt_outcome::broken);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
    for (int i = 0; i < 100 && !fixture.callers_.rejected_.contains(call); ++i) {
        fixture.report_load(other, 1.0, 6);
        fixture.advance(10ms);
    }
    const auto& why = fixture.callers_.rejected_.at(call);
    INFO(name_of(why.kind_));
    REQUIRE(why.verdict_ == verdict::may_have_run);
    REQUIRE(status_of(why.kind_) != 503);
}

TEST_CASE("an upstream gets no more calls once another instance answers at its address")
{
    earliest_finish_fixture fixture(2);
    fixture.send_call(false);
    const auto first = fixture.last();
    response_head head;
    head.status_ = 421;
    head.not_run_ = true;
    head.misdirected_ = true;
    fixture.engine_.on_response_started(first.attempt_, head);
    for (int i = 0; i < 6; ++i) {
        fixture.send_call(false);
        REQUIRE(fixture.last().upstream_ != first.upstream_);
    }
}

TEST_CASE("what another instance at an upstream's address says of itself is not taken as the upstream's word")
{
    earliest_finish_fixture fixture(2);
    int spread = 0;
    fixture.engine_.on_leaving_ = [&](const std::string&, const std::string&) { ++spread; };
    fixture.send_call(true);
    const auto addressed = fixture.last();
    fixture.engine_.on_response_started(addressed.attempt_,
                                        {421, true, true, false, {true, load_report{9, 9}, 5s, 1.0}});
    CHECK(spread == 0);
    const auto* upstream = fixture.engine_.find_upstream("desk", addressed.upstream_);
    CHECK_FALSE(upstream->gate().limit().active());
    CHECK(upstream->gate().paused_until() <= fixture.clock_.now());
    CHECK(upstream->slots(1) == 6);
}

TEST_CASE("a repeatable call is hedged when its upstream slows down, and the first response is relayed")
{
    earliest_finish_fixture fixture(2);
    const auto call = fixture.send_call(true);
    const auto first = fixture.last();
    fixture.advance(20ms);
    fixture.report_load(first.upstream_, 7.0, 1);
    fixture.engine_.apply_loads();
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    const auto hedge = fixture.last();
    REQUIRE(hedge.upstream_ != first.upstream_);
    fixture.answer(hedge.attempt_);
    REQUIRE(fixture.callers_.relayed_.at(call) == hedge.attempt_);
    REQUIRE(fixture.upstreams_.cancelled_ == std::vector<attempt_id>{first.attempt_});
}

TEST_CASE("an unrepeatable call is not hedged when its upstream slows down")
{
    earliest_finish_fixture fixture(2);
    fixture.send_call(false);
    fixture.advance(20ms);
    fixture.report_load(fixture.last().upstream_, 7.0, 1);
    fixture.engine_.apply_loads();
    REQUIRE(fixture.upstreams_.started_.size() == 1);
}

TEST_CASE("without a retry budget a refused call is not retried, and new calls still start")
{
    earliest_finish_fixture fixture(3);
    fixture.config_.services_["desk"].policy_.retry_share_ = 0;
    fixture.config_.services_["desk"].policy_.retry_budget_slack_ = 0;
    ++fixture.config_.revision_;
    fixture.engine_.apply(fixture.config_);
    const auto call = fixture.send_call(false);
    fixture.refuse(fixture.last().attempt_);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
    REQUIRE(fixture.callers_.rejected_.contains(call));
    fixture.send_call(true);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
}

TEST_CASE("a freed slot goes to the more urgent of the waiting calls that can meet their objective")
{
    earliest_finish_fixture fixture(1, 6);
    std::vector<attempt_id> running;
    for (int i = 0; i < 6; ++i) {
        fixture.send_call(true);
        running.push_back(fixture.last().attempt_);
    }
    fixture.send_call(true, 900ms, 3s, 2);
    const auto urgent = fixture.send_call(false, 900ms, 3s, 0);
    REQUIRE(fixture.upstreams_.started_.size() == 6);
    fixture.answer(running.front());
    REQUIRE(fixture.last().call_ == urgent);
}

TEST_CASE("at twice the capacity most urgent calls meet their objective and few calls are rejected late")
{
    // Two upstreams of 6 slots serve calls of 100 ms: 120 calls/s. 240 calls/s arrive for 3 s, half urgent.
    earliest_finish_fixture fixture(2, 6);
    std::map<call_id, std::pair<time_point, int>> sent;
    std::multimap<time_point, attempt_id> running;
    std::size_t seen = 0;
    int urgent_in_time = 0;
    int urgent = 0;
    int refused_late = 0;
    std::map<call_id, bool> counted;
    for (int step = 0; step < 4000; ++step) {
        if (step < 3000 && step % 25 < 6) {
            const int priority = step % 2;
            const auto id = fixture.send_call(false, 300ms, 1s, priority);
            sent[id] = {fixture.clock_.now(), priority};
            urgent += priority == 0 ? 1 : 0;
        }
        for (; seen < fixture.upstreams_.started_.size(); ++seen) {
            running.emplace(fixture.clock_.now() + 100ms, fixture.upstreams_.started_[seen].attempt_);
        }
        while (!running.empty() && running.begin()->first <= fixture.clock_.now()) {
            const auto attempt = running.begin()->second;
            running.erase(running.begin());
            fixture.answer(attempt);
        }
        fixture.advance(1ms);
        for (const auto& [id, start] : sent) {
            const bool served = fixture.callers_.relayed_.contains(id);
            const bool refused = fixture.callers_.rejected_.contains(id);
            if ((served || refused) && !counted[id]) {
                counted[id] = true;
                const auto latency = fixture.clock_.now() - start.first;
                urgent_in_time += served && start.second == 0 && latency <= 300ms ? 1 : 0;
                refused_late += refused && latency > 700ms ? 1 : 0;
            }
        }
    }
    INFO("urgent " << urgent << ", in time " << urgent_in_time << ", refused late " << refused_late);
    REQUIRE(urgent_in_time * 10 >= urgent * 9);
    REQUIRE(refused_late * 10 <= static_cast<int>(sent.size()));
}

TEST_CASE("near capacity a late call leaves the last free slots to calls that can meet their objective")
{
    earliest_finish_fixture fixture(2);
    fixture.report_load("u1", 1.0, 4);
    fixture.report_load("u2", 1.0, 3);
    const auto late = fixture.send_call(true, 1ms);
    CHECK(fixture.upstreams_.started_.empty());
    CHECK_FALSE(fixture.callers_.rejected_.contains(late));
    fixture.send_call(true);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
    CHECK(fixture.last().upstream_ == "u2");
}

TEST_CASE("a late call starts at once while most slots are free")
{
    earliest_finish_fixture fixture(2);
    fixture.send_call(true, 1ms);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
}

TEST_CASE("calls that wait when the node stops are rejected as not run by its time limit")
{
    earliest_finish_fixture fixture(1);
    fixture.report_load("u1", 1.0, 6);
    const auto call = fixture.send_call(true, 5s, 10s);
    fixture.clock_.advance(100ms);
    fixture.report_load("u1", 1.0, 6);
    REQUIRE_FALSE(fixture.callers_.rejected_.contains(call));
    fixture.engine_.set_waiting_deadline(fixture.clock_.now() + 3s);
    for (int i = 0; i < 60; ++i) {
        fixture.clock_.advance(50ms);
        fixture.report_load("u1", 1.0, 6);
        fixture.engine_.on_wakeup();
    }
    REQUIRE(fixture.callers_.rejected_.contains(call));
    CHECK(fixture.callers_.rejected_.at(call).verdict_ == verdict::not_run);
}

TEST_CASE("an upstream that refused with Retry-After gets nothing from this node until that time has passed")
{
    earliest_finish_fixture fixture(2);
    fixture.send_call(true);
    const auto held = fixture.last().upstream_;
    response_head head{503, true};
    head.self_.retry_after_ = 2s;
    fixture.engine_.on_response_started(fixture.last().attempt_, head);
    REQUIRE(fixture.last().upstream_ != held);
    for (int i = 0; i < 19; ++i) {
        fixture.advance(100ms);
        fixture.send_call(true);
        CHECK(fixture.last().upstream_ != held);
        fixture.answer(fixture.last().attempt_);
    }
    fixture.advance(200ms);
    std::set<std::string> used;
    for (int i = 0; i < 8; ++i) {
        fixture.send_call(true);
        used.insert(fixture.last().upstream_);
    }
    CHECK(used.contains(held));
}

TEST_CASE("when every upstream has asked for a pause, new and waiting calls are rejected at once until the "
          "first ends")
{
    earliest_finish_fixture fixture(2, 1);
    std::vector<attempt_order> open;
    for (int i = 0; i < 2; ++i) {
        fixture.send_call(false);
        open.push_back(fixture.last());
    }
    const auto waiting = fixture.send_call(true);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    response_head head{503, true};
    head.self_.retry_after_ = 8s;
    fixture.engine_.on_response_started(open[0].attempt_, head);
    head.self_.retry_after_ = 7s;
    fixture.engine_.on_response_started(open[1].attempt_, head);
    REQUIRE(fixture.upstreams_.started_.size() == 2);
    REQUIRE(fixture.callers_.rejected_.contains(waiting));
    const auto call = fixture.send_call(true);
    REQUIRE(fixture.callers_.rejected_.contains(call));
    const auto& why = fixture.callers_.rejected_.at(call);
    CHECK(why.verdict_ == verdict::not_run);
    CHECK(status_of(why.kind_) == 503);
    CHECK(why.retry_after_ >= 7s);
    CHECK(why.retry_after_ < 8s);
}

TEST_CASE("an upstream's failure is passed to the caller when every other upstream has asked for a pause")
{
    earliest_finish_fixture fixture(2);
    fixture.send_call(true);
    response_head pause{503, true};
    pause.self_.retry_after_ = 5s;
    fixture.engine_.on_response_started(fixture.last().attempt_, pause);
    const auto call = fixture.send_call(true);
    fixture.answer(fixture.last().attempt_, 500);
    CHECK(fixture.callers_.relayed_.contains(call));
    CHECK_FALSE(fixture.callers_.rejected_.contains(call));
}
