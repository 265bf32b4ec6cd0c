// Tests of the order in which waiting calls are served.
#include "core/calls/waiting_queue.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace std::chrono_literals;

namespace {

const time_point now{1h};

waiting_call make_waiting_call(std::uint64_t id, int priority, duration to_objective)
{
    return {call_id{id}, priority, now + to_objective, now + to_objective + 1s, false, 100ms};
}

} // namespace

TEST_CASE("calls that can meet their objective are served before late ones, whatever their priority")
{
    waiting_queue queue;
    queue.add(make_waiting_call(1, 0, 50ms));
    queue.add(make_waiting_call(2, 2, 400ms));
    REQUIRE(queue.in_order(now) == std::vector<call_id>{call_id{2}, call_id{1}});
    REQUIRE(queue.late(now) == 1);
}

TEST_CASE("calls that can meet their objective are ordered by priority, then by objective")
{
    waiting_queue queue;
    queue.add(make_waiting_call(1, 1, 300ms));
    queue.add(make_waiting_call(2, 0, 400ms));
    queue.add(make_waiting_call(3, 0, 200ms));
    REQUIRE(queue.in_order(now) == std::vector<call_id>{call_id{3}, call_id{2}, call_id{1}});
}

TEST_CASE("a resent call is served before new calls of its priority")
{
    waiting_queue queue;
    queue.add(make_waiting_call(1, 1, 200ms));
    auto resent = make_waiting_call(2, 1, 400ms);
    resent.is_resend_ = true;
    queue.add(resent);
    REQUIRE(queue.in_order(now).front() == call_id{2});
}

TEST_CASE("the calls ahead of a new one are those that would be served before it")
{
    waiting_queue queue;
    queue.add(make_waiting_call(1, 0, 200ms));
    queue.add(make_waiting_call(2, 2, 200ms));
    REQUIRE(queue.ahead_of(make_waiting_call(3, 1, 300ms), now) == 1);
}
