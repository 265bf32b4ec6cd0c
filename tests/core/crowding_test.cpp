// Tests of learning how many calls an upstream is best given.
#include "core/calls/crowding.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("upstreams with few slots are not filled until they have shown that it does no harm")
{
    crowding learnt;
    REQUIRE(learnt.best(3) == 2);
    for (int i = 0; i < 60; ++i) {
        learnt.learn(3, 3, 1.0);
    }
    REQUIRE(learnt.best(3) == 3);
}

TEST_CASE("upstreams with many slots are filled until they have slowed down")
{
    crowding learnt;
    REQUIRE(learnt.best(6) == 6);
    for (int i = 0; i < 100; ++i) {
        learnt.learn(6, 6, 1.9);
    }
    REQUIRE(learnt.best(6) == 4);
}

TEST_CASE("calls at an upstream that was not nearly full teach nothing")
{
    crowding learnt;
    for (int i = 0; i < 100; ++i) {
        learnt.learn(4, 6, 3.0);
    }
    REQUIRE(learnt.factor(6) == 1.0);
}
