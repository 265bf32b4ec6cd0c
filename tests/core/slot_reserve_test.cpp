// Tests of the reserve of free slots that late calls must leave to calls that can still be in time.
#include "core/calls/slot_reserve.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("late calls may take free slots while at least a fifth of the useful slots is free")
{
    slot_reserve reserve;
    for (int i = 0; i < 10; ++i) {
        reserve.add(4, 3.0);
    }
    CHECK(reserve.free_share() == Approx(0.25));
    CHECK(reserve.open_to_late_calls());
    reserve.add(4, 4.0);
    reserve.add(4, 4.0);
    reserve.add(4, 4.0);
    CHECK_FALSE(reserve.open_to_late_calls());
}

TEST_CASE("calls queued at an overloaded upstream do not count against the slots of others")
{
    slot_reserve reserve;
    reserve.add(2, 9.0);
    reserve.add(2, 0.0);
    CHECK(reserve.free_share() == Approx(0.5));
}

TEST_CASE("late calls wait when no upstream runs at usual speed")
{
    CHECK_FALSE(slot_reserve{}.open_to_late_calls());
}
