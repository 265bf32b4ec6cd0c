// Tests of when late calls may take free slots.
#include "core/calls/slot_reserve.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("late calls take free slots as long as a fifth of the useful ones stay free")
{
    slot_reserve counted;
    for (int i = 0; i < 10; ++i) {
        counted.add(4, 3.0);
    }
    CHECK(counted.free_part() == Approx(0.25));
    CHECK(counted.open_to_late_calls());
    counted.add(4, 4.0);
    counted.add(4, 4.0);
    counted.add(4, 4.0);
    CHECK_FALSE(counted.open_to_late_calls());
}

TEST_CASE("an overfull upstream does not use up the slots of others")
{
    slot_reserve counted;
    counted.add(2, 9.0);
    counted.add(2, 0.0);
    CHECK(counted.free_part() == Approx(0.5));
}

TEST_CASE("without any upstream of usual speed late calls wait")
{
    CHECK_FALSE(slot_reserve{}.open_to_late_calls());
}
