// Tests of received_sequences: duplicates, reordering and the end of the window.
#include "core/fleet/received_sequences.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

TEST_CASE("each sequence number is accepted once, in any order within the window")
{
    received_sequences received;
    CHECK(received.add(1) == sequence_arrival::newest);
    CHECK(received.add(1) == sequence_arrival::duplicate);
    CHECK(received.add(4) == sequence_arrival::newest);
    CHECK(received.add(3) == sequence_arrival::late);
    CHECK(received.add(3) == sequence_arrival::duplicate);
    CHECK(received.add(2) == sequence_arrival::late);
    CHECK(received.add(1) == sequence_arrival::duplicate);
    CHECK(received.highest() == 4);
}

TEST_CASE("a number that is too far behind counts as a duplicate")
{
    received_sequences received;
    CHECK(received.add(100) == sequence_arrival::newest);
    CHECK(received.add(37) == sequence_arrival::late);
    CHECK(received.add(36) == sequence_arrival::duplicate);
    CHECK(received.add(1000) == sequence_arrival::newest);
    CHECK(received.add(100) == sequence_arrival::duplicate);
    CHECK(received.add(999) == sequence_arrival::late);
}
