// Tests of upstreams that limit the rate of requests from all nodes together: a node's knowledge of a limit,
// and that fleets of real engines and gossip, in virtual time, stay within it.
#include "core/called_fleet.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

TEST_CASE("a limit ends only with a successful response to a call that was sent after it was known")
{
    const time_point start{1h};
    rate_limit limit;
    CHECK(limit.on_response(4.0, true, start, start + 1s));
    CHECK_FALSE(limit.on_response(std::nullopt, true, start + 500ms, start + 2s));
    CHECK_FALSE(limit.on_response(std::nullopt, false, start + 2s, start + 3s));
    CHECK(limit.active());
    CHECK(limit.on_response(std::nullopt, true, start + 2s, start + 3s));
    CHECK_FALSE(limit.active());
    CHECK_FALSE(limit.apply({4.0, start + 1s}, start + 4s)); // Another node's older word.
    CHECK_FALSE(limit.active());
}

TEST_CASE("a fleet sends an upstream that limits its rate no more than the limit allows")
{
    const int nodes = GENERATE(1, 5, 13, 40);
    const double limit = GENERATE(0.0, 0.4, 2.4, 4.1, 30.0);
    INFO(nodes << " nodes, limit " << limit);
    called_fleet fleet(nodes, 3);
    fleet.set_limit(limit);
    fleet.play(1s, 100);
    fleet.forget();
    fleet.play(10s, 100);
    CHECK(static_cast<double>(fleet.most_in_four_seconds()) <= 1.5 * limit * 4 + 5);
    CHECK(static_cast<double>(fleet.most_in_four_seconds()) >= 0.5 * limit * 4); // Its capacity is used.
    for (int i = 0; i < nodes; ++i) {
        CHECK(fleet.served_share("n" + std::to_string(i)) > 0.98); // The last calls still run.
    }

    fleet.set_limit(std::nullopt);
    fleet.play(12s, 100);
    fleet.forget();
    fleet.play(4s, 100);
    CHECK(fleet.most_in_four_seconds() > 60); // A third of all calls is 133.
}
