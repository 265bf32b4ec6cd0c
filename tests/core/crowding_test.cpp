// Tests of learning what nearly full upstreams make of a call.
#include "core/calls/crowding.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("upstreams with few slots are taken to slow down until they have shown that they don't")
{
    crowding learnt;
    REQUIRE(learnt.factor(3) == crowding::assumed_with_few_slots);
    for (int i = 0; i < 100; ++i) {
        learnt.learn(3, 3, 1.0);
    }
    REQUIRE(learnt.factor(3) < 1.05);
}

TEST_CASE("upstreams with many slots are taken to keep their speed until they have slowed down")
{
    crowding learnt;
    REQUIRE(learnt.factor(6) == 1.0);
    for (int i = 0; i < 100; ++i) {
        learnt.learn(6, 6, 1.9);
    }
    REQUIRE(learnt.factor(6) > 1.8);
}

TEST_CASE("calls at an upstream that was not nearly full teach nothing")
{
    crowding learnt;
    for (int i = 0; i < 100; ++i) {
        learnt.learn(4, 6, 3.0);
    }
    REQUIRE(learnt.factor(6) == 1.0);
}

TEST_CASE("calls that met an unseen slow spell do not decide what is learnt")
{
    crowding learnt;
    for (int i = 0; i < 300; ++i) {
        learnt.learn(6, 6, i % 4 == 0 ? 7.0 : 1.5);
    }
    REQUIRE(learnt.factor(6) < 1.7);
}

TEST_CASE("slots beyond the comfortable ones are of use unless they slow the others by more than they add")
{
    crowding learnt;
    CHECK(learnt.useful(6) == 6);
    CHECK(learnt.useful(3) == 2);
    for (int i = 0; i < 100; ++i) {
        learnt.learn(6, 6, 2.0);
    }
    CHECK(learnt.useful(6) == crowding::comfortable(6));
}
