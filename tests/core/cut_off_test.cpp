// Tests of nodes that lose their connections to all upstreams while callers and the other nodes reach them.
#include "core/called_fleet.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

TEST_CASE("a node notices that it reaches no upstream, but not that some upstreams fail")
{
    const time_point start{1h};
    upstream_reachability reachability;
    reachability.set_upstream_count(10);
    reachability.on_response(true);
    for (const std::string upstream : {"u1", "u1", "u2"}) {
        reachability.on_failure(upstream, start);
    }
    CHECK_FALSE(reachability.cut_off(start + 1s));
    reachability.on_failure("u3", start + 1s);
    CHECK(reachability.cut_off(start + 1s));
    reachability.on_response(false);
    CHECK_FALSE(reachability.cut_off(start + 2s));
    reachability.on_failure("u4", start + 2s);
    CHECK_FALSE(reachability.cannot_connect(start + 2s));
    reachability.on_failure("u5", start + 2s);
    CHECK(reachability.cannot_connect(start + 2s)); // Connections that were open before still work.
    CHECK_FALSE(reachability.cut_off(start + 2s));
    reachability.on_response(true);
    CHECK_FALSE(reachability.in_doubt());
    CHECK_FALSE(reachability.cannot_connect(start + 9s));
}

TEST_CASE(
    "a node waits for its probes before it believes that it is cut off, and counts the upstreams it knows")
{
    const time_point start{1h};
    upstream_reachability reachability;
    reachability.set_upstream_count(1);
    CHECK_FALSE(reachability.cut_off(start));
    reachability.on_failure("u1", start);
    CHECK(reachability.in_doubt());
    CHECK_FALSE(reachability.cut_off(start + 300ms));
    CHECK(reachability.cut_off(start + 400ms));
}

TEST_CASE("callers of nodes that are cut off from all upstreams are served as well as those of other nodes")
{
    const std::set<std::string> cut_off =
        GENERATE(std::set<std::string>{"n1"}, std::set<std::string>{"n0", "n2", "n4"},
                 std::set<std::string>{"n0", "n1", "n2", "n3", "n4"});
    INFO(cut_off.size() << " of 6 nodes cut off");
    called_fleet fleet(6, 6);
    fleet.play(1s, 120);
    fleet.cut_off(cut_off);
    fleet.play(3s, 120);
    fleet.forget();
    fleet.play(6s, 120);
    for (int i = 0; i < 6; ++i) {
        const auto node = "n" + std::to_string(i);
        INFO(node);
        CHECK(fleet.served_share(node) > 0.95); // The users' rule: two thirds of what others serve.
    }
    CHECK(fleet.forwarded_revisions_ == std::set<std::uint64_t>{fleet.net_.config_.revision_});
    fleet.cut_off({});
    fleet.play(3s, 120);
    for (const auto& node : fleet.net_.nodes_) {
        CHECK_FALSE(node->engine_.reachability().cut_off(fleet.net_.clock_.now()));
    }
}
