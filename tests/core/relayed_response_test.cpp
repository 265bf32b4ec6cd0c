// Tests of the time limit of a response that is being relayed: one that stops arriving ends soon after the
// call's deadline; one that goes on arriving, or waits for its caller, ends when it is complete.
#include "core/fakes.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

constexpr duration timeout = 1s;

/// A quarter of a second past its time-out a response counts as held too long by the users' rules.
constexpr duration latest_end = 250ms;

struct relaying_fixture : engine_fixture {
    using engine_fixture::engine_fixture;

    /// Starts a call and delivers the head of the response to its latest attempt.
    call_id start_response(bool repeatable = true)
    {
        const auto call = send(repeatable, "", timeout);
        relay_latest(call);
        return call;
    }

    void relay_latest(call_id call)
    {
        callers_.progress_[call] = {100, true};
        engine_.on_response_started(upstreams_.last().attempt_, {200});
    }

    /// Lets time pass while `bytes_per_step` of the body arrive every 10 ms.
    void pass(duration length, call_id call, std::uint64_t bytes_per_step)
    {
        constexpr duration step = 10ms;
        for (duration passed{}; passed < length; passed += step) {
            callers_.progress_[call].body_bytes_ += bytes_per_step;
            advance(step);
        }
    }

    [[nodiscard]] bool cut_off(call_id call) const { return callers_.aborted_ == std::vector<call_id>{call}; }
};

} // namespace

// Guards against callers that wait for ever: the engine had no timer for a call whose response was being
// relayed.
TEST_CASE("a relayed response that stops arriving is cut off soon after the deadline and not before")
{
    const bool repeatable = GENERATE(true, false);
    const std::uint64_t bytes_per_step = GENERATE(0, 1, 100);
    relaying_fixture fixture;
    const auto call = fixture.start_response(repeatable);
    const auto attempt = fixture.upstreams_.last();
    fixture.pass(timeout - 10ms, call, bytes_per_step);
    CHECK(fixture.callers_.aborted_.empty());
    fixture.pass(latest_end, call, bytes_per_step);
    CHECK(fixture.cut_off(call));
    CHECK(fixture.callers_.responses_.at(call) == 1);
    CHECK(fixture.upstreams_.cancelled_ == std::vector<attempt_id>{attempt.attempt_});
    CHECK(fixture.upstreams_.started_.size() == 1);
    CHECK(fixture.claims_.kept_ == std::vector<call_id>{call});
    CHECK(fixture.engine_.calls_in_flight() == 0);
    CHECK_FALSE(fixture.engine_.next_wakeup().has_value());
    REQUIRE(fixture.observer_.records_.size() == 1);
    CHECK(fixture.observer_.records_[0].problem_ == problem_kind::deadline_exceeded);
    CHECK(fixture.observer_.records_[0].verdict_ == verdict::ran);
    CHECK(fixture.observer_.last_decision_.kind_ == decision_kind::attempt_failed);
    CHECK(fixture.observer_.last_decision_.upstream_ == attempt.upstream_);
}

TEST_CASE("a relayed response that is still arriving at the deadline is not cut off until it stops")
{
    relaying_fixture fixture;
    const auto call = fixture.start_response();
    fixture.pass(5 * timeout, call, 5000);
    CHECK(fixture.callers_.aborted_.empty());
    fixture.pass(latest_end, call, 0);
    CHECK(fixture.cut_off(call));
}

TEST_CASE("a relayed response that waits for its caller to read is not cut off")
{
    relaying_fixture fixture;
    const auto call = fixture.start_response();
    fixture.callers_.progress_[call].awaits_upstream_ = false;
    fixture.pass(5 * timeout, call, 0);
    CHECK(fixture.callers_.aborted_.empty());
    SECTION("its upstream is waited for once the caller has read everything")
    {
        fixture.callers_.progress_[call].awaits_upstream_ = true;
        fixture.pass(2 * latest_end, call, 0);
        CHECK(fixture.cut_off(call));
    }
    SECTION("it ends when it is complete")
    {
        fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::complete);
        CHECK(fixture.observer_.records_.back().status_ == 200);
        CHECK_FALSE(fixture.engine_.next_wakeup().has_value());
    }
}

TEST_CASE("a node that was held up past the deadline reads what has arrived before it cuts off a response")
{
    const duration before = GENERATE(0ms, 1050ms);
    relaying_fixture fixture;
    const auto call = fixture.start_response();
    fixture.pass(before, call, 0);
    fixture.advance(3s);
    CHECK(fixture.callers_.aborted_.empty());
    fixture.pass(50ms, call, 0);
    CHECK(fixture.callers_.aborted_.empty());
    fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::complete);
    CHECK(fixture.observer_.records_.back().status_ == 200);
}

TEST_CASE("the response of another node to a forwarded call is cut off like an upstream's")
{
    relaying_fixture fixture(1);
    fixture.engine_.choose_peer_ = [](const std::string&, const std::set<std::string>&) {
        return serving_peer{"n2", "127.0.0.2", 8080};
    };
    const auto call = fixture.send(true, "", timeout);
    fixture.engine_.on_attempt_ended(fixture.upstreams_.last().attempt_, attempt_outcome::not_sent);
    REQUIRE(fixture.upstreams_.last().to_peer_);
    fixture.relay_latest(call);
    fixture.pass(timeout + latest_end, call, 0);
    CHECK(fixture.cut_off(call));
}

TEST_CASE("a response that is cut off frees its slot for a waiting call and counts against its upstream")
{
    relaying_fixture fixture(1, 1);
    const auto stalled = fixture.start_response();
    fixture.pass(timeout / 2, stalled, 0);
    const auto waiting = fixture.send(true, "", 10 * timeout);
    CHECK(fixture.upstreams_.last().call_ == stalled);
    CHECK(fixture.engine_.find_upstream("desk", "u1")->consecutive_failures() == 0);
    fixture.pass(timeout / 2 + latest_end, stalled, 0);
    CHECK(fixture.upstreams_.last().call_ == waiting);
    CHECK(fixture.engine_.find_upstream("desk", "u1")->consecutive_failures() == 1);
}
