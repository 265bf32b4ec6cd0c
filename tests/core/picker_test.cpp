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

struct picker_bench {
    explicit picker_bench(int upstreams)
    {
        for (int i = 0; i < upstreams; ++i) {
            const upstream_config config{"10.0.0.1", static_cast<std::uint16_t>(80 + i), "", "",
                                         upstream_state::active};
            upstreams_.push_back(std::make_unique<upstream_tracker>("u" + std::to_string(i), config, now_));
            candidates_.push_back(upstreams_.back().get());
        }
    }

    /// Picks `count` times and returns how often each upstream was chosen.
    template <class Rule>
    std::map<std::string, int> picks(const Rule& rule, int count = 1000)
    {
        std::map<std::string, int> counted;
        for (int i = 0; i < count; ++i) {
            ++counted[candidates_[rule.pick(candidates_, {now_, 10ms, 3}, random_)]->name()];
        }
        return counted;
    }

    time_point now_{1h};
    split_mix random_;
    std::vector<std::unique_ptr<upstream_tracker>> upstreams_;
    std::vector<const upstream_tracker*> candidates_;
};

} // namespace

TEST_CASE("the baseline never picks the busier of two upstreams")
{
    picker_bench bench(2);
    bench.upstreams_[0]->on_started();
    REQUIRE(bench.picks(least_in_flight_of_two_picker{})["u0"] == 0);
}

TEST_CASE("expected wait avoids a slow upstream even if it reports no load")
{
    picker_bench bench(4);
    for (int i = 0; i < 10; ++i) {
        bench.upstreams_[0]->on_answer(100ms, {200, false, load_report{0}}, bench.now_);
        for (int other = 1; other < 4; ++other) {
            bench.upstreams_[static_cast<std::size_t>(other)]->on_answer(10ms, {200, false, load_report{2}},
                                                                         bench.now_);
        }
    }
    REQUIRE(bench.picks(expected_wait_picker{})["u0"] == 0);
}

TEST_CASE("an upstream's slow answers are forgotten over time, so that it is tried again")
{
    picker_bench bench(4);
    for (int i = 0; i < 10; ++i) {
        bench.upstreams_[0]->on_answer(100ms, {200, false, std::nullopt}, bench.now_);
    }
    bench.now_ += 60s;
    REQUIRE(bench.picks(expected_wait_picker{})["u0"] > 100);
}

TEST_CASE("a node's owned slots are used before others")
{
    picker_bench bench(4);
    bench.upstreams_[2]->set_owned_slots(1);
    REQUIRE(bench.picks(owned_slots_picker{})["u2"] == 1000);
    bench.upstreams_[2]->on_started();
    REQUIRE(bench.picks(owned_slots_picker{})["u2"] < 500);
}

TEST_CASE("owned slots of a slow upstream are skipped")
{
    picker_bench bench(4);
    bench.upstreams_[2]->set_owned_slots(3);
    for (int i = 0; i < 10; ++i) {
        bench.upstreams_[2]->on_answer(100ms, {200, false, std::nullopt}, bench.now_);
    }
    REQUIRE(bench.picks(owned_slots_picker{})["u2"] == 0);
}

TEST_CASE("an arriving upstream receives a growing share of the calls")
{
    picker_bench bench(2);
    const upstream_config arriving{"10.0.0.9", 80, "", "", upstream_state::arriving};
    upstream_tracker cold("cold", arriving, bench.now_);
    REQUIRE(cold.ramp(bench.now_) == Approx(0.1));
    REQUIRE(cold.ramp(bench.now_ + 5s) == Approx(0.5));
    REQUIRE(cold.ramp(bench.now_ + 20s) == Approx(1.0));
}

TEST_CASE("consecutive failures eject an upstream for growing times, after each of which one call probes it")
{
    picker_bench bench(1);
    auto& upstream = *bench.upstreams_[0];
    for (int i = 0; i < 3; ++i) {
        REQUIRE_FALSE(upstream.ejected(bench.now_));
        upstream.on_failure(50ms, bench.now_);
    }
    REQUIRE(upstream.ejected(bench.now_ + 400ms));
    REQUIRE_FALSE(upstream.ejected(bench.now_ + 600ms));
    upstream.on_started();
    REQUIRE(upstream.ejected(bench.now_ + 600ms));
    upstream.on_ended();
    upstream.on_failure(50ms, bench.now_ + 600ms);
    REQUIRE(upstream.ejected(bench.now_ + 1500ms));
    upstream.on_success(bench.now_ + 1500ms);
    REQUIRE_FALSE(upstream.ejected(bench.now_ + 1500ms));
}
