// The call path with real processes and sockets.
#include "end_to_end/processes.h"

#include <catch2/catch.hpp>

using namespace anvilpost::testing;

TEST_CASE("a call goes from a caller through a node to an upstream and back")
{
    fleet fleet(1, 2);
    fleet.put_desk();
    const auto answer = fleet.call("GET", "/page", {{"X-Echo", "diver-7"}});
    REQUIRE(answer.status_ == 200);
    REQUIRE(answer.json_["echo"] == "diver-7");
}

TEST_CASE("a call for an unknown host is told that it was not run")
{
    fleet fleet(1, 1);
    const auto answer = send(fleet.call_port(0), "GET", "/", "", {{"Host", "nobody.example"}});
    REQUIRE(answer.status_ == 404);
    REQUIRE(answer.verdict_ == "not_run");
}
