// Tests of recent_keys: order of forgetting, by number and by age.
#include "vocabulary/recent_keys.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace std::chrono_literals;

TEST_CASE("the oldest key is forgotten when there are too many")
{
    recent_keys keys(2);
    CHECK(keys.insert("c", time_point(1s)));
    CHECK(keys.insert("a", time_point(2s)));
    CHECK_FALSE(keys.insert("c", time_point(3s)));
    CHECK(keys.insert("b", time_point(4s)));
    CHECK_FALSE(keys.contains("c"));
    CHECK(keys.contains("a"));
    CHECK(keys.size() == 2);
}

TEST_CASE("keys inserted before a time are forgotten")
{
    recent_keys keys(10);
    keys.insert("z", time_point(1s));
    keys.insert("a", time_point(2s));
    keys.remove_until(time_point(2s));
    CHECK_FALSE(keys.contains("z"));
    CHECK(keys.contains("a"));
}
