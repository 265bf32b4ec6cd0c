// Tests of upstreams that limit the rate of requests from all nodes together or ask nodes for a pause: a
// node's knowledge of a limit, and fleets of real engines and gossip, in virtual time, that must comply.
#include "core/called_fleet.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

TEST_CASE("a limit ends only with a successful response to a call that was sent after it was known")
{
    const time_point start{1h};
    rate_limit limit;
    CHECK(limit.on_response(4.0, true, start, start + 1s));
    CHECK_FALSE(limit.on_response(std::nullopt, true, start + 500ms, start + 2s));
    CHECK_FALSE(limit.on_response(std::nullopt, false, start + 2s, start + 3s));
    CHECK(limit.active());
    CHECK(limit.on_response(std::nullopt, true, start + 2s, start + 3s));
    CHECK_FALSE(limit.active());
    CHECK_FALSE(limit.apply({4.0, start + 1s}, start + 4s)); // Another node's older word.
    CHECK_FALSE(limit.active());
}

namespace {

/// Size of a fleet and the limit that its upstream u1 names. Types, since Catch makes one test of each, and
/// ctest runs these side by side.
template <int Nodes, int LimitTenths>
struct limited_fleet {
    static constexpr int nodes = Nodes;
    static constexpr double limit = LimitTenths / 10.0;
};

} // namespace

TEMPLATE_PRODUCT_TEST_CASE_SIG("a fleet sends an upstream that limits its rate no more than the limit allows",
                               "", ((int Nodes, int LimitTenths), Nodes, LimitTenths), limited_fleet,
                               ((1, 0), (1, 4), (1, 24), (1, 41), (1, 300), (5, 0), (5, 4), (5, 24), (5, 41),
                                (5, 300), (13, 0), (13, 4), (13, 24), (13, 41), (13, 300), (40, 0), (40, 4),
                                (40, 24), (40, 41), (40, 300)))
{
    constexpr double limit = TestType::limit;
    called_fleet fleet(TestType::nodes, 3);
    fleet.set_limit(limit);
    fleet.play(1s, 100);
    fleet.forget();
    fleet.play(10s, 100);
    CHECK(static_cast<double>(fleet.most_in_four_seconds()) <= 1.5 * limit * 4 + 5);
    CHECK(static_cast<double>(fleet.most_in_four_seconds()) >= 0.5 * limit * 4); // Its capacity is used.
    for (int i = 0; i < TestType::nodes; ++i) {
        CHECK(fleet.served_share("n" + std::to_string(i)) > 0.98); // The last calls still run.
    }

    fleet.set_limit(std::nullopt);
    fleet.play(12s, 100);
    fleet.forget();
    fleet.play(4s, 100);
    CHECK(fleet.most_in_four_seconds() > 60); // A third of all calls is 133.
}

TEMPLATE_TEST_CASE_SIG("an upstream that asks one node for a pause goes on serving the others, and one that "
                       "asks all is left alone by each",
                       "", ((int nodes), nodes), 5, 13, 40)
{
    const bool asks_all = GENERATE(false, true);
    INFO(nodes << " nodes, asks all " << asks_all);
    constexpr int calls_per_node = 20; // Per second.
    called_fleet fleet(nodes, 3);
    fleet.play(2s, nodes * calls_per_node);
    fleet.forget();
    fleet.play(10s, nodes * calls_per_node);
    const auto usually_served = fleet.served_by_u1();
    std::set<std::string> asked;
    for (int i = 0; i < (asks_all ? nodes : 1); ++i) {
        asked.insert("n" + std::to_string(i));
    }
    fleet.refuse_with_pause(asked, 2s);
    fleet.forget();
    fleet.play(10s, nodes * calls_per_node);
    CAPTURE(fleet.refused_by_u1(), fleet.served_by_u1(), usually_served);
    CHECK(fleet.refused_by_u1() <= asked.size() * 5 * 2); // Two in each of five pauses.
    if (!asks_all) {
        CHECK(fleet.served_by_u1() > usually_served / 2);
    }
    for (int i = 0; i < nodes; ++i) {
        CHECK(fleet.served_share("n" + std::to_string(i)) > 0.98); // The last calls still run.
    }
}
