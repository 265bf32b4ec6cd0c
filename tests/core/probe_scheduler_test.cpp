// Tests of the probe scheduler: which upstreams it probes, and that the probes of all nodes stay within the
// budget in every window, also when nodes are paused or replaced.
#include "core/fakes.h"
#include "core/upstreams/probe_scheduler.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

service_state idle_service(double probes_per_second, time_point now)
{
    service_config config;
    config.hosts_ = {"desk.example"};
    config.policy_.probes_per_second_ = probes_per_second;
    config.upstreams_["u1"] = {"10.0.0.1", 80, "", "", upstream_state::active};
    return {"desk", config, now};
}

membership single_node(const std::string& name)
{
    return {member{name, 1, "dc", "10.0.0.9", 1, "", 0, 0, 0, false}, {}};
}

} // namespace

TEST_CASE("the probe interval keeps a node within its share of the budget in every closed window")
{
    for (const double budget : {0.1, 0.5, 1.0, 2.0, 20.0, 500.0}) {
        for (const int nodes : {1, 13, 18, 20, 60}) {
            const auto window = probe_window(budget, nodes);
            const auto interval = *probe_interval(budget, nodes);
            const double max_probes = static_cast<double>(window / interval + 1);
            const double share = budget / nodes * static_cast<double>(window.count()) / 1e6;
            INFO("budget " << budget << "/s, nodes " << nodes << ", window " << window.count() << " us");
            CHECK(max_probes <= share + 1e-6);
        }
    }
}

TEST_CASE("a probe budget of zero gives no probe interval")
{
    REQUIRE_FALSE(probe_interval(0, 20).has_value());
}

TEST_CASE("a node sends its first probe only after a full probe interval")
{
    manual_clock clock;
    probe_scheduler scheduler(clock.now());
    const auto service = idle_service(1, clock.now());
    clock.advance(29s);
    REQUIRE_FALSE(scheduler.next(service, {20}, single_node("a"), clock.now()).has_value());
    clock.advance(2s);
    REQUIRE(scheduler.next(service, {20}, single_node("a"), clock.now()).has_value());
}

TEST_CASE("an upstream that has just answered is not probed")
{
    manual_clock clock;
    probe_scheduler scheduler(clock.now());
    auto service = idle_service(1, clock.now());
    clock.advance(60s);
    service.find("u1")->on_success(clock.now());
    REQUIRE_FALSE(scheduler.next(service, {20}, single_node("a"), clock.now()).has_value());
}

TEST_CASE("a node does not probe while more nodes are live than the budget is divided among")
{
    manual_clock clock;
    probe_scheduler scheduler(clock.now());
    const auto service = idle_service(1, clock.now());
    clock.advance(400s);
    auto members = single_node("a");
    members.merge_report({"b", 1, "dc", "10.0.0.8", 1, "", 0, 1, 0, false}, clock.now());
    REQUIRE_FALSE(scheduler.next(service, {1}, members, clock.now()).has_value());
    REQUIRE(scheduler.next(service, {2}, single_node("a"), clock.now()).has_value());
}

TEST_CASE("pausing or replacing nodes never takes the fleet over its probe budget in any window")
{
    const bool within_budget = rc::check("probes per window", [] {
        constexpr int nodes = 4;
        constexpr double budget = 1.0;
        const fleet_config fleet{nodes};
        const auto window = probe_window(budget, nodes);
        manual_clock clock;
        const auto service = idle_service(budget, clock.now());
        std::vector<probe_scheduler> schedulers(nodes, probe_scheduler(clock.now()));
        std::vector<bool> probe_pending(nodes, false);
        std::deque<time_point> sent;
        // The worst case of differing views: each node sees no other and so is responsible for all upstreams.
        const auto members = single_node("a");
        const auto steps =
            *rc::gen::container<std::vector<int>>(400, rc::gen::resize(100, rc::gen::inRange(0, 40)));
        for (const int step : steps) {
            const auto node = static_cast<std::size_t>(step % nodes);
            clock.advance(std::chrono::milliseconds(step * 37));
            if (step >= 36) {
                schedulers[node] = probe_scheduler(clock.now());
                probe_pending[node] = false;
            }
            else if (probe_pending[node]) {
                sent.push_back(clock.now());
                probe_pending[node] = false;
                schedulers[node].on_finished("desk", clock.now());
            }
            else {
                probe_pending[node] = schedulers[node].next(service, fleet, members, clock.now()).has_value();
            }
            while (!sent.empty() && clock.now() - sent.front() > window) {
                sent.pop_front();
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= budget * static_cast<double>(window.count()) / 1e6);
        }
    });
    REQUIRE(within_budget);
}
