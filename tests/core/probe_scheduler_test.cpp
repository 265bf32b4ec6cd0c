// Tests of the probe scheduler: the budget in every window, with any nodes paused or replaced.
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

membership alone(const std::string& name)
{
    return {member{name, 1, "dc", "10.0.0.9", 1, "", 0, 0, 0, false}, {}};
}

} // namespace

TEST_CASE("a node's interval keeps any closed window within its share of the budget")
{
    for (const double budget : {0.1, 0.5, 1.0, 2.0, 20.0, 500.0}) {
        for (const int nodes : {1, 13, 18, 20, 60}) {
            const auto window = probe_window(budget, nodes);
            const auto interval = *probe_interval(budget, nodes);
            const double most = static_cast<double>(window / interval + 1);
            const double share = budget / nodes * static_cast<double>(window.count()) / 1e6;
            INFO("budget " << budget << "/s, nodes " << nodes << ", window " << window.count() << " us");
            CHECK(most <= share + 1e-6);
        }
    }
}

TEST_CASE("no budget means no probes")
{
    REQUIRE_FALSE(probe_interval(0, 20).has_value());
}

TEST_CASE("a node that was just started does not probe at once")
{
    manual_clock clock;
    probe_scheduler probes(clock.now());
    const auto service = idle_service(1, clock.now());
    clock.advance(29s);
    REQUIRE_FALSE(probes.next(service, {20}, alone("a"), clock.now()).has_value());
    clock.advance(2s);
    REQUIRE(probes.next(service, {20}, alone("a"), clock.now()).has_value());
}

TEST_CASE("an upstream that answers calls is not probed")
{
    manual_clock clock;
    probe_scheduler probes(clock.now());
    auto service = idle_service(1, clock.now());
    clock.advance(60s);
    service.find("u1")->on_success(clock.now());
    REQUIRE_FALSE(probes.next(service, {20}, alone("a"), clock.now()).has_value());
}

TEST_CASE("a node stops probing when more nodes run than the budget is shared among")
{
    manual_clock clock;
    probe_scheduler probes(clock.now());
    const auto service = idle_service(1, clock.now());
    clock.advance(400s);
    auto members = alone("a");
    members.hear({"b", 1, "dc", "10.0.0.8", 1, "", 0, 1, 0, false}, clock.now());
    REQUIRE_FALSE(probes.next(service, {1}, members, clock.now()).has_value());
    REQUIRE(probes.next(service, {2}, alone("a"), clock.now()).has_value());
}

TEST_CASE("no pausing or replacing of nodes takes the fleet over its budget in any window")
{
    const bool held = rc::check("probes per window", [] {
        constexpr int nodes = 4;
        constexpr double budget = 1.0;
        const fleet_config fleet{nodes};
        const auto window = probe_window(budget, nodes);
        manual_clock clock;
        const auto service = idle_service(budget, clock.now());
        std::vector<probe_scheduler> schedulers(nodes, probe_scheduler(clock.now()));
        std::vector<bool> decided(nodes, false);
        std::deque<time_point> sent;
        // Views differ: each node believes that it is alone and so responsible for everything.
        const auto members = alone("a");
        const auto steps =
            *rc::gen::container<std::vector<int>>(400, rc::gen::resize(100, rc::gen::inRange(0, 40)));
        for (const int step : steps) {
            const auto node = static_cast<std::size_t>(step % nodes);
            clock.advance(std::chrono::milliseconds(step * 37));
            if (step >= 36) {
                schedulers[node] = probe_scheduler(clock.now());
                decided[node] = false;
            }
            else if (decided[node]) {
                sent.push_back(clock.now());
                decided[node] = false;
                schedulers[node].on_finished("desk", clock.now());
            }
            else {
                decided[node] = schedulers[node].next(service, fleet, members, clock.now()).has_value();
            }
            while (!sent.empty() && clock.now() - sent.front() > window) {
                sent.pop_front();
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= budget * static_cast<double>(window.count()) / 1e6);
        }
    });
    REQUIRE(held);
}
