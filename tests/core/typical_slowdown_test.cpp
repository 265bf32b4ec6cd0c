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

TEST_CASE("upstreams that are slow a third of the time count as slow as the work that they do in all")
{
    earliest_finish_fixture fixture(6, 3);
    for (int round = 0; round < 90; ++round) {
        fixture.advance(60ms);
        for (int i = 1; i <= 6; ++i) {
            fixture.report_load("u" + std::to_string(i), (round + i) % 9 < 3 ? 7.0 : 1.0, 0, 3);
        }
    }
    // In 60 ms at factor 7 and 120 ms at factor 1, a call gets 129 ms of work done.
    const auto typical = fixture.engine_.services().at("desk").typical_slowdown();
    CHECK(typical > 1.3);
    CHECK(typical < 1.5);
}
