// Nodes on a stand-in of the users' platform, as real processes. Timing promises are left to the soak; here
// each behaviour is waited for.
#include "platform_world/test_deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <unistd.h>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr duration long_enough = 20s;

/// Addresses differ between processes, so that test runs side by side do not meet.
int own_net()
{
    constexpr int first = 100;
    constexpr int count = 100;
    return first + getpid() % count;
}

world_settings small_world()
{
    const std::string build_dir = ANVILPOST_BUILD_DIR;
    const int net = own_net();
    world_settings settings;
    settings.daemon_ = build_dir + "/platform/anvilpost_platformd";
    settings.folder_ = build_dir + "/platform-worlds/" + std::to_string(net);
    settings.net_ = net;
    settings.nodes_ = 3;
    settings.workers_per_service_ = 2;
    return settings;
}

/// Ends of the requests of the last second, newest last.
bool serves(const world& target)
{
    constexpr double nearly_all = 0.99;
    return target.served_part(target.now() - 1s) >= nearly_all;
}

void start_serving(world& target)
{
    target.run_for(1s);
    target.start_callers(6, 50ms);
    REQUIRE(target.run_until([&] { return serves(target); }, long_enough));
}

void require_promises_kept(world& target)
{
    target.finish();
    const auto& broken = target.book().broken();
    INFO((broken.empty() ? std::string() : broken.front()));
    CHECK(broken.empty());
}

} // namespace

TEST_CASE("nodes serve from the platform's store and registry", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    require_promises_kept(target);
}

TEST_CASE("a moved route is in force on every node", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    target.move_route(0, "log");
    target.run_for(world_bounds::configuration);
    const auto from = target.now();
    target.run_for(2s);
    target.finish();
    int moved = 0;
    for (const auto& [unused, request] : target.book().requests()) {
        if (request.sent_ > from && request.path_.starts_with("/pages/") && !request.ran_at_.empty()) {
            // Workers of the first service come first.
            CHECK(std::stoi(request.ran_at_.front().substr(1)) >= 2);
            ++moved;
        }
    }
    CHECK(moved > 0);
}

TEST_CASE("nodes serve on while the store is away and follow it afterwards", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    store_front_faults away;
    SECTION("refusing")
    {
        away.refuse_with_ = 503;
    }
    SECTION("hanging")
    {
        away.hang_ = true;
    }
    SECTION("resetting")
    {
        away.reset_ = true;
    }
    target.disturb(6s);
    target.store().set_faults(away);
    target.run_for(3s);
    CHECK(serves(target));
    target.store().set_faults({});
    target.move_route(0, "log");
    const auto moved_at = target.now();
    const auto runs_at_new_service = [&] {
        return std::any_of(target.book().requests().begin(), target.book().requests().end(),
                           [&](const auto& entry) {
                               const auto& request = entry.second;
                               return request.sent_ > moved_at && request.path_.starts_with("/pages/") &&
                                      !request.ran_at_.empty() && request.ran_at_.front() >= "w2";
                           });
    };
    CHECK(target.run_until(runs_at_new_service, long_enough));
    require_promises_kept(target);
}

TEST_CASE("nodes follow a store that has lost its history", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    target.store().compact();
    target.crash_worker(0);
    target.store().compact();
    target.run_for(100ms);
    target.start_worker(0);
    target.run_for(1s);
    CHECK(target.run_until([&] { return serves(target); }, long_enough));
    require_promises_kept(target);
}

TEST_CASE("service is back after all nodes were killed", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    target.disturb(5s);
    for (int i = 0; i < target.node_count(); ++i) {
        target.signal_node(i, SIGKILL);
    }
    target.run_for(300ms);
    for (int i = 0; i < target.node_count(); ++i) {
        REQUIRE(!target.node_runs(i));
        target.start_node(i);
    }
    target.run_for(1s);
    CHECK(target.run_until([&] { return serves(target); }, long_enough));
    require_promises_kept(target);
}

TEST_CASE("a node without a configuration refuses with a promise and never says unknown", "[platform node]")
{
    auto settings = small_world();
    settings.nodes_ = 1;
    settings.idle_nodes_ = {0};
    world target(settings);
    store_front_faults away;
    away.refuse_with_ = 503;
    target.store().set_faults(away);
    target.start_node(0);
    target.run_for(1s);
    target.start_callers(4, 20ms);
    target.run_for(1s);
    target.finish();
    int refused = 0;
    for (const auto& [unused, request] : target.book().requests()) {
        CHECK(request.status_ != 404);
        CHECK(request.ran_at_.empty());
        refused += request.status_ == 503 ? 1 : 0;
    }
    CHECK(refused > 0);
}

TEST_CASE("a worker that drains and a node that stops cost no request", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    target.drain_worker(0);
    target.stop_node(1, true);
    target.run_for(world_bounds::grace + 2s);
    CHECK(target.node_runs(1));
    CHECK(!target.worker_runs(0));
    CHECK(serves(target));
    for (const auto& [id, request] : target.book().requests()) {
        INFO(id);
        CHECK(request.end_ != request_end::given_up);
    }
    require_promises_kept(target);
}

TEST_CASE("connections to workers that went silent do not stop the service", "[platform node]")
{
    world target(small_world());
    start_serving(target);
    target.disturb(4s);
    for (int i = 0; i < target.worker_count(); ++i) {
        target.worker_link(i).forget_open();
    }
    target.run_for(3s);
    CHECK(target.run_until([&] { return serves(target); }, long_enough));
    require_promises_kept(target);
}

} // namespace anvilpost::testing
