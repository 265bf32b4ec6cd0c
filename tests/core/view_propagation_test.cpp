// Tests of how a change of the store reaches all nodes while the store refuses some of them, datagrams are
// lost, fetches hang and nodes restart.
#include "core/view_fleet.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

struct refusal_case {
    std::size_t nodes_ = 48;
    store_treatment how_ = store_treatment::busy;
    double share_ = 0.9;
    std::uint64_t seed_ = 1;
};

std::ostream& operator<<(std::ostream& out, const refusal_case& played)
{
    return out << played.nodes_ << " nodes, " << played.share_ << " refused in way "
               << static_cast<int>(played.how_) << ", seed " << played.seed_;
}

/// Lets a started fleet learn changes, one each 0.9 s, for a time.
void write_for(view_fleet& fleet, duration length)
{
    constexpr duration gap = 900ms;
    for (duration played{}; played < length; played += gap) {
        fleet.store_.write();
        fleet.run(gap);
    }
}

double in_milliseconds(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace

TEST_CASE("a change is in force on all nodes within 0.5 s while the store serves all")
{
    view_fleet fleet({});
    fleet.run(4s);
    const auto start = fleet.time_.now();
    write_for(fleet, 4s);
    INFO("longest delay: " << in_milliseconds(fleet.longest_delay(start)) << " ms");
    CHECK(fleet.longest_delay(start) <= 500ms);
}

TEST_CASE("a change is in force on all nodes within half the bound while the store refuses the leaders and "
          "most other nodes")
{
    const auto played = GENERATE(
        refusal_case{48, store_treatment::busy, 0.9, 1}, refusal_case{48, store_treatment::reset, 0.9, 2},
        refusal_case{108, store_treatment::busy, 0.9, 3}, refusal_case{48, store_treatment::silent, 0.9, 4},
        refusal_case{108, store_treatment::silent, 0.9, 5});
    CAPTURE(played);
    view_fleet_settings settings;
    settings.nodes_ = played.nodes_;
    settings.seed_ = played.seed_;
    view_fleet fleet(settings);
    fleet.run(4s);
    const auto start = fleet.time_.now();
    fleet.refuse_share(played.share_, played.how_);
    write_for(fleet, 6s);
    fleet.run(2s);
    INFO("longest delay: " << in_milliseconds(fleet.longest_delay(start)) << " ms");
    CHECK(fleet.longest_delay(start) <= settings.bound_ / 2);
    CHECK(fleet.stale_decisions_ == 0);
}

TEST_CASE(
    "a node whose link is full, but which the fleet counts as healthy, has each change within the bound")
{
    const auto queue = GENERATE(duration(230ms), duration(450ms));
    const auto refused = GENERATE(false, true);
    CAPTURE(in_milliseconds(queue), refused);
    view_fleet_settings settings;
    view_fleet fleet(settings);
    fleet.run(4s);
    const auto start = fleet.time_.now();
    fleet.node("n47").link_queue_ = queue;
    if (refused) {
        fleet.store_.treat("n47", store_treatment::busy);
    }
    write_for(fleet, 6s);
    fleet.run(2s);
    INFO("longest delay: " << in_milliseconds(fleet.longest_delay(start))
                           << " ms, stale decisions: " << fleet.stale_decisions_ << ", by up to "
                           << in_milliseconds(fleet.stalest_) << " ms");
    CHECK(fleet.longest_delay(start) <= settings.bound_);
    CHECK(fleet.stale_decisions_ == 0);
    CHECK(fleet.unusable_ <= fleet.checks_ / 50);
}

TEST_CASE("a change that one small node has read reaches all others within 0.5 s")
{
    view_fleet_settings settings;
    settings.nodes_ = 282; // 94 in each data centre.
    view_fleet fleet(settings);
    fleet.run(4s);
    for (const auto& name : fleet.live_nodes()) {
        if (name != "n50") {
            fleet.store_.treat(name, store_treatment::busy);
        }
    }
    fleet.longest_spread_ = {};
    write_for(fleet, 2s);
    INFO("longest time between nodes: " << in_milliseconds(fleet.longest_spread_) << " ms");
    CHECK(fleet.longest_spread_ > 0ms);
    CHECK(fleet.longest_spread_ <= 500ms);
}

TEST_CASE("one node of each data centre watches the store while its leader is refused, and then no longer")
{
    const auto how = GENERATE(store_treatment::busy, store_treatment::silent);
    view_fleet fleet({});
    fleet.run(4s);
    const auto watching = [&] {
        std::vector<std::string> found;
        for (const auto& name : fleet.live_nodes()) {
            const auto& duties = fleet.node(name).exchange_.duties();
            if (duties.store_rank() == 0 && fleet.store_.treatment_of(name) == store_treatment::serves) {
                found.push_back(name);
            }
        }
        return found;
    };
    CHECK(watching().size() == 1);
    fleet.refuse_share(0.8, how);
    write_for(fleet, 4s);
    const auto calls_before = fleet.store_.calls_;
    write_for(fleet, 4s);
    CHECK(watching().size() >= 1);
    CHECK(watching().size() <= fleet.settings_.data_centres_);
    // Three watches that end each 0.15 to 0.6 s, and the retries of three refused leaders.
    INFO("calls in 4 s: " << fleet.store_.calls_ - calls_before);
    CHECK(fleet.store_.calls_ - calls_before <= 100);
    fleet.serve_all();
    fleet.run(3s);
    CHECK(watching().size() == 1);
}

TEST_CASE("no call is decided by a view that lacks a change older than the bound while any node reads the "
          "store")
{
    const auto how = GENERATE(store_treatment::busy, store_treatment::reset, store_treatment::silent);
    const auto nodes = GENERATE(std::size_t{3}, std::size_t{48});
    const auto seed = GENERATE(std::uint64_t{1}, std::uint64_t{2});
    CAPTURE(static_cast<int>(how), nodes, seed);
    view_fleet_settings settings;
    settings.nodes_ = nodes;
    settings.seed_ = seed;
    settings.datagram_loss_ = 0.05;
    settings.hanging_fetches_ = 0.1;
    view_fleet fleet(settings);
    fleet.run(4s);
    fleet.refuse_share(nodes > 3 ? 0.97 : 0.67, how);
    write_for(fleet, 3s);
    for (const auto& name : fleet.live_nodes()) {
        // At least one node that reads the store stays.
        const bool refused = fleet.store_.treatment_of(name) != store_treatment::serves;
        if (refused && random_unit(fleet.random_) < 0.15) {
            fleet.kill(name);
            fleet.time_.after(1s, [&fleet, name] { fleet.restart(name); });
        }
    }
    write_for(fleet, 5s);
    INFO("checks: " << fleet.checks_ << ", unusable: " << fleet.unusable_ << ", stale: "
                    << fleet.stale_decisions_ << ", by up to " << in_milliseconds(fleet.stalest_) << " ms");
    CHECK(fleet.stale_decisions_ == 0);
    CHECK(fleet.unusable_ <= fleet.checks_ / 50);
}
