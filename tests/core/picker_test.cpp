// Tests of the pickers, the rules for choosing an upstream, and of the upstream state that they rely on.
#include "core/calls/picker.h"
#include "support/split_mix.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>

using namespace anvilpost;
using namespace anvilpost::testing;
using namespace std::chrono_literals;

namespace {

struct picker_fixture {
    explicit picker_fixture(int upstreams)
    {
        for (int i = 0; i < upstreams; ++i) {
            const upstream_config config{"10.0.0.1", static_cast<std::uint16_t>(80 + i), "", "",
                                         upstream_state::active};
            upstreams_.push_back(std::make_unique<upstream_tracker>("u" + std::to_string(i), config, now_));
            candidates_.push_back(upstreams_.back().get());
        }
    }

    /// Picks `count` times and returns how often each upstream was chosen.
    template <class Picker>
    std::map<std::string, int> count_picks(const Picker& picker, int count = 1000)
    {
        std::map<std::string, int> picks_by_upstream;
        for (int i = 0; i < count; ++i) {
            ++picks_by_upstream[candidates_[picker.pick(candidates_, {now_, 10ms, 3}, random_)]->name()];
        }
        return picks_by_upstream;
    }

    time_point now_{1h};
    split_mix random_;
    std::vector<std::unique_ptr<upstream_tracker>> upstreams_;
    std::vector<const upstream_tracker*> candidates_;
};

response_head response_with_load(double in_flight)
{
    return {200, false, false, false, {false, load_report{in_flight}}};
}

} // namespace

TEST_CASE("the least-in-flight-of-two picker never picks the busier of two upstreams")
{
    picker_fixture fixture(2);
    fixture.upstreams_[0]->on_started();
    REQUIRE(fixture.count_picks(least_in_flight_of_two_picker{})["u0"] == 0);
}

TEST_CASE("the expected-wait picker avoids a slow upstream even if it reports that it is idle")
{
    picker_fixture fixture(4);
    for (int i = 0; i < 10; ++i) {
        fixture.upstreams_[0]->on_response(100ms, response_with_load(0), fixture.now_);
        for (int other = 1; other < 4; ++other) {
            fixture.upstreams_[static_cast<std::size_t>(other)]->on_response(10ms, response_with_load(2),
                                                                             fixture.now_);
        }
    }
    REQUIRE(fixture.count_picks(expected_wait_picker{})["u0"] == 0);
}

TEST_CASE("an upstream's slow responses are forgotten over time, so that it is tried again")
{
    picker_fixture fixture(4);
    for (int i = 0; i < 10; ++i) {
        fixture.upstreams_[0]->on_response(100ms, {200}, fixture.now_);
    }
    fixture.now_ += 60s;
    REQUIRE(fixture.count_picks(expected_wait_picker{})["u0"] > 100);
}

TEST_CASE("a node's owned slots are used before others")
{
    picker_fixture fixture(4);
    fixture.upstreams_[2]->set_owned_slots(1);
    REQUIRE(fixture.count_picks(owned_slots_picker{})["u2"] == 1000);
    fixture.upstreams_[2]->on_started();
    REQUIRE(fixture.count_picks(owned_slots_picker{})["u2"] < 500);
}

TEST_CASE("owned slots of a slow upstream are skipped")
{
    picker_fixture fixture(4);
    fixture.upstreams_[2]->set_owned_slots(3);
    for (int i = 0; i < 10; ++i) {
        fixture.upstreams_[2]->on_response(100ms, {200}, fixture.now_);
    }
    REQUIRE(fixture.count_picks(owned_slots_picker{})["u2"] == 0);
}

TEST_CASE("an arriving upstream receives a growing share of the calls")
{
    picker_fixture fixture(2);
    const upstream_config arriving{"10.0.0.9", 80, "", "", upstream_state::arriving};
    upstream_tracker arriving_tracker("cold", arriving, fixture.now_);
    REQUIRE(arriving_tracker.ramp(fixture.now_) == Approx(0.1));
    REQUIRE(arriving_tracker.ramp(fixture.now_ + 5s) == Approx(0.5));
    REQUIRE(arriving_tracker.ramp(fixture.now_ + 20s) == Approx(1.0));
}

TEST_CASE("consecutive failures eject an upstream for growing times, after each of which one call probes it")
{
    picker_fixture fixture(1);
    auto& upstream = *fixture.upstreams_[0];
    for (int i = 0; i < 3; ++i) {
        REQUIRE_FALSE(upstream.ejected(fixture.now_));
        upstream.on_failure(50ms, fixture.now_);
    }
    REQUIRE(upstream.ejected(fixture.now_ + 400ms));
    REQUIRE_FALSE(upstream.ejected(fixture.now_ + 600ms));
    upstream.on_started();
    REQUIRE(upstream.ejected(fixture.now_ + 600ms));
    upstream.on_ended();
    upstream.on_failure(50ms, fixture.now_ + 600ms);
    REQUIRE(upstream.ejected(fixture.now_ + 1500ms));
    upstream.on_success(fixture.now_ + 1500ms);
    REQUIRE_FALSE(upstream.ejected(fixture.now_ + 1500ms));
}
