// Long calls at services whose upstreams differ in speed: what the slow ones report must not make the others
// look too slow, and a call that no upstream can serve in time must not wait beside free slots.
#include "core/earliest_finish_fixture.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

constexpr auto objective = 1'500ms; ///< A call is assumed to need a third of it before the first is served.

/// Upstreams of three slots; the first `slow` ones report `slowdown` for 5 s, the others 1.3.
struct uneven_fixture : public earliest_finish_fixture {
    uneven_fixture(int upstreams, int slow, double slowdown) : earliest_finish_fixture(upstreams, 3)
    {
        for (int round = 0; round < 80; ++round) {
            advance(60ms);
            for (int i = 1; i <= upstreams; ++i) {
                report_load("u" + std::to_string(i), i <= slow ? slowdown : 1.3, 0, 3);
            }
        }
    }
};

} // namespace

TEST_CASE("slow upstreams do not make long calls wait beside free slots of the others")
{
    uneven_fixture fixture(12, 5, 9.0);
    for (int i = 0; i < 7; ++i) {
        fixture.send_call(true, objective, 4s);
        REQUIRE(fixture.upstreams_.started_.size() == static_cast<std::size_t>(i) + 1);
        CHECK(std::stoi(fixture.last().upstream_.substr(1)) > 5);
    }
}

TEST_CASE("a long call avoids an upstream that has been slow for seconds and looks usual for a moment")
{
    uneven_fixture fixture(2, 1, 7.0);
    fixture.report_load("u1", 1.0, 0, 3);
    for (int i = 0; i < 2; ++i) {
        fixture.send_call(true, objective, 4s);
        CHECK(fixture.last().upstream_ == "u2");
    }
}

TEST_CASE("while all upstreams are slow, calls start at once instead of waiting for a faster slot")
{
    uneven_fixture fixture(6, 6, 4.0);
    fixture.send_call(true, objective, 4s);
    REQUIRE(fixture.upstreams_.started_.size() == 1);
}

TEST_CASE(
    "to a node that makes all calls, upstreams that are slow at times are as slow as the work they do in all")
{
    const bool makes_all_calls = GENERATE(true, false);
    service_config config;
    config.policy_.picker_ = picker_kind::earliest_finish;
    for (int i = 0; i < 6; ++i) {
        config.upstreams_["u" + std::to_string(i)] = {"10.0.0." + std::to_string(i), 80, "", "",
                                                      upstream_state::active};
    }
    time_point now{1h};
    service_state service("desk", config, now);
    service.set_makes_all_calls(makes_all_calls);
    for (int round = 0; round < 90; ++round) {
        now += 60ms;
        for (int i = 0; i < 6; ++i) {
            const double slowdown = (round + i) % 9 < 3 ? 7.0 : 1.0;
            service.on_load(*service.find("u" + std::to_string(i)), {0, 3, slowdown}, now);
        }
    }
    // In 60 ms at factor 7 and 120 ms at factor 1, a call gets 129 ms of work done. The mean factor is 3.
    CHECK(service.typical_slowdown() > (makes_all_calls ? 1.3 : 2.5));
    CHECK(service.typical_slowdown() < (makes_all_calls ? 1.5 : 3.5));
}
