// Tests of estimating how much upstreams slow down when nearly full.
#include "core/calls/contention_estimator.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("upstreams with few slots are assumed to slow down until samples show that they don't")
{
    contention_estimator estimator;
    REQUIRE(estimator.factor(3) == contention_estimator::assumed_factor_of_small_upstreams);
    for (int i = 0; i < 100; ++i) {
        estimator.add_sample(3, 3, 1.0);
    }
    REQUIRE(estimator.factor(3) < 1.05);
}

TEST_CASE("upstreams with many slots are assumed to keep their speed until samples show a slowdown")
{
    contention_estimator estimator;
    REQUIRE(estimator.factor(6) == 1.0);
    for (int i = 0; i < 100; ++i) {
        estimator.add_sample(6, 6, 1.9);
    }
    REQUIRE(estimator.factor(6) > 1.8);
}

TEST_CASE("calls at an upstream that was not nearly full do not change the estimate")
{
    contention_estimator estimator;
    for (int i = 0; i < 100; ++i) {
        estimator.add_sample(4, 6, 3.0);
    }
    REQUIRE(estimator.factor(6) == 1.0);
}

TEST_CASE("outliers from upstreams that turned slow unnoticed do not distort the estimate")
{
    contention_estimator estimator;
    for (int i = 0; i < 300; ++i) {
        estimator.add_sample(6, 6, i % 4 == 0 ? 7.0 : 1.5);
    }
    REQUIRE(estimator.factor(6) < 1.7);
}

TEST_CASE("the last slots are used unless filling them lowers an upstream's throughput")
{
    contention_estimator estimator;
    CHECK(estimator.useful_slots(6) == 6);
    CHECK(estimator.useful_slots(3) == 2);
    for (int i = 0; i < 100; ++i) {
        estimator.add_sample(6, 6, 2.0);
    }
    CHECK(estimator.useful_slots(6) == contention_estimator::max_uncontended_calls(6));
}
