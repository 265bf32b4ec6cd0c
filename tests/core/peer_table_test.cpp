// Tests of the table of peers: incarnations, and the liveness of stopping nodes.
#include "core/fleet/peer_table.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

namespace {

using namespace std::chrono_literals;

peer node(const std::string& name, std::uint64_t incarnation = 1)
{
    return {name, incarnation, "north", "10.0.0.1", 1, 2, 200, false};
}

const time_point start = time_point(100s);

} // namespace

TEST_CASE("a node that restarts with a lower incarnation, after its clock was set back, is alive at once")
{
    peer_table peers(node("self"), {});
    peers.record_heartbeat(node("a", 5000), start);
    peers.record_heartbeat(node("a", 3000), start + 1s);
    REQUIRE(peers.find("a")->incarnation_ == 3000);
    CHECK(peers.alive("a", start + 1s));
}

TEST_CASE("an older heartbeat of another incarnation does not replace the present incarnation")
{
    peer_table peers(node("self"), {});
    peers.record_heartbeat(node("a", 5000), start + 1s);
    peers.record_heartbeat(node("a", 9000), start);
    CHECK(peers.find("a")->incarnation_ == 5000);
}

TEST_CASE("a stopping node is not alive but still receives messages")
{
    peer_table peers(node("self"), {});
    auto stopping = node("a");
    stopping.stopping_ = true;
    peers.record_heartbeat(stopping, start);
    CHECK_FALSE(peers.alive("a", start));
    CHECK(peers.live_local_peers(start).empty());
    CHECK(peers.reachable("a", start));
    REQUIRE(peers.reachable_local_peers(start).size() == 1);
    CHECK(peers.reachable_local_peers(start + 5s).empty());
}
