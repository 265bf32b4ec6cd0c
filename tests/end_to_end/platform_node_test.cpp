// Runs real node processes in a simulated deployment of the users' platform. Time bounds are checked by the
// soak test only; these tests wait for each behaviour with a generous timeout.
#include "support/address_claim.h"
#include "test_deployment/test_deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>

namespace anvilpost::testing {
namespace {

using namespace std::chrono_literals;

constexpr duration serve_timeout = 20s;

/// The second byte of the deployments' 127.net.x.y addresses; the deployments of a process follow each other.
int loopback_network()
{
    constexpr int first = 100; // Soak runs use lower numbers.
    constexpr int last = 199;
    static const int network = claim_loopback_network(first, last);
    return network;
}

deployment_settings small_deployment_settings()
{
    const std::string build_dir = ANVILPOST_BUILD_DIR;
    const int net = loopback_network();
    deployment_settings settings;
    settings.daemon_ = build_dir + "/platform/anvilpost_platformd";
    settings.folder_ = build_dir + "/platform-worlds/" + std::to_string(net);
    settings.net_ = net;
    settings.nodes_ = 3;
    settings.workers_per_service_ = 2;
    return settings;
}

/// Returns whether nearly all requests sent in the last second and ended by now were served.
bool is_serving(const test_deployment& deployment)
{
    constexpr double min_served_share = 0.99;
    return deployment.served_share(deployment.now() - 1s) >= min_served_share;
}

/// Checks that requests of the route "pages" sent after `from` ran, and only at workers of the service "log".
void check_pages_run_at_log(test_deployment& deployment, time_point from)
{
    int moved = 0;
    for (const auto& [unused, request] : deployment.checker().requests()) {
        if (request.sent_at_ > from && request.path_.starts_with("/pages/") && !request.ran_at_.empty()) {
            // Workers 0 and 1 belong to "desk"; higher numbers belong to "log".
            CHECK(std::stoi(request.ran_at_.front().substr(1)) >= 2);
            ++moved;
        }
    }
    CHECK(moved > 0);
}

void start_serving(test_deployment& deployment)
{
    deployment.run_for(1s);
    deployment.start_callers(6, 50ms);
    REQUIRE(deployment.run_until([&] { return is_serving(deployment); }, serve_timeout));
}

/// Largest number of the times from `since` on that lie within any span of `window`.
std::size_t most_in_window(const std::vector<time_point>& times, time_point since, duration window)
{
    std::size_t most = 0;
    auto oldest = std::lower_bound(times.begin(), times.end(), since);
    for (auto newest = oldest; newest != times.end(); ++newest) {
        while (*newest - *oldest > window) {
            ++oldest;
        }
        most = std::max(most, static_cast<std::size_t>(newest - oldest) + 1);
    }
    return most;
}

void require_no_violations(test_deployment& deployment)
{
    deployment.finish();
    const auto& violations = deployment.checker().violations();
    INFO((violations.empty() ? std::string() : violations.front()));
    CHECK(violations.empty());
}

} // namespace

TEST_CASE("nodes serve requests with the configuration and workers from the platform's store",
          "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    require_no_violations(deployment);
}

TEST_CASE("a route moved to another service takes effect on every node", "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    deployment.move_route(0, "log");
    deployment.run_for(platform_bounds::configuration);
    const auto from = deployment.now();
    deployment.run_for(2s);
    deployment.finish();
    check_pages_run_at_log(deployment, from);
}

TEST_CASE("nodes keep serving while the store is unavailable and apply changes once it is back",
          "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    store_endpoint_faults outage;
    SECTION("refusing")
    {
        outage.refuse_with_ = 503;
    }
    SECTION("hanging")
    {
        outage.hang_ = true;
    }
    SECTION("resetting")
    {
        outage.reset_ = true;
    }
    deployment.announce_fault(6s);
    deployment.store().set_faults(outage);
    deployment.run_for(3s);
    CHECK(is_serving(deployment));
    deployment.store().set_faults({});
    deployment.move_route(0, "log");
    const auto moved_at = deployment.now();
    const auto runs_at_new_service = [&] {
        return std::any_of(deployment.checker().requests().begin(), deployment.checker().requests().end(),
                           [&](const auto& entry) {
                               const auto& request = entry.second;
                               return request.sent_at_ > moved_at && request.path_.starts_with("/pages/") &&
                                      !request.ran_at_.empty() && request.ran_at_.front() >= "w2";
                           });
    };
    CHECK(deployment.run_until(runs_at_new_service, serve_timeout));
    require_no_violations(deployment);
}

TEST_CASE("changes of a store that came back from an older copy are in force as soon as any other",
          "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    deployment.store().take_copy();
    start_serving(deployment);
    deployment.run_for(5s); // The workers' entries take up dozens of revisions, which are given out again.
    const int restores = GENERATE(1, 2);
    for (int i = 0; i < restores; ++i) {
        deployment.store().restore();
        deployment.run_for(300ms);
    }
    deployment.put_configuration(); // The operator writes it again.
    deployment.drain_worker(1);
    deployment.move_route(0, "log");
    deployment.run_for(platform_bounds::configuration);
    const auto from = deployment.now();
    deployment.run_for(2s);
    CHECK(is_serving(deployment));
    deployment.finish();
    check_pages_run_at_log(deployment, from);
    const auto& violations = deployment.checker().violations();
    INFO((violations.empty() ? std::string() : violations.front()));
    CHECK(violations.empty());
}

TEST_CASE("nodes resynchronise with a store that has lost its change history", "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    deployment.store().compact();
    deployment.crash_worker(0);
    deployment.store().compact();
    deployment.run_for(100ms);
    deployment.start_worker(0);
    deployment.run_for(1s);
    CHECK(deployment.run_until([&] { return is_serving(deployment); }, serve_timeout));
    require_no_violations(deployment);
}

TEST_CASE("service recovers after all nodes were killed", "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    deployment.announce_fault(5s);
    for (int i = 0; i < deployment.node_count(); ++i) {
        deployment.signal_node(i, SIGKILL);
    }
    deployment.run_for(300ms);
    for (int i = 0; i < deployment.node_count(); ++i) {
        REQUIRE(!deployment.node_runs(i));
        deployment.start_node(i);
    }
    deployment.run_for(1s);
    CHECK(deployment.run_until([&] { return is_serving(deployment); }, serve_timeout));
    require_no_violations(deployment);
}

TEST_CASE("a node without a configuration answers 503 as not run and never 404", "[platform node]")
{
    auto settings = small_deployment_settings();
    settings.nodes_ = 1;
    settings.idle_nodes_ = {0};
    test_deployment deployment(settings);
    store_endpoint_faults outage;
    outage.refuse_with_ = 503;
    deployment.store().set_faults(outage);
    deployment.start_node(0);
    deployment.run_for(1s);
    deployment.start_callers(4, 20ms);
    deployment.run_for(1s);
    deployment.finish();
    int refused = 0;
    for (const auto& [unused, request] : deployment.checker().requests()) {
        CHECK(request.status_ != 404);
        CHECK(request.ran_at_.empty());
        refused += request.status_ == 503 ? 1 : 0;
    }
    CHECK(refused > 0);
}

TEST_CASE("draining a worker and restarting a node lose no request", "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    deployment.drain_worker(0);
    deployment.stop_node(1, true);
    deployment.run_for(platform_bounds::grace + 2s);
    CHECK(deployment.node_runs(1));
    CHECK(!deployment.worker_runs(0));
    CHECK(is_serving(deployment));
    for (const auto& [id, request] : deployment.checker().requests()) {
        INFO(id);
        CHECK(request.outcome_ != request_outcome::timed_out);
    }
    require_no_violations(deployment);
}

TEST_CASE("silent connections to workers do not stop the service", "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    deployment.announce_fault(4s);
    for (int i = 0; i < deployment.worker_count(); ++i) {
        deployment.worker_link(i).blackhole_open();
    }
    deployment.run_for(3s);
    CHECK(deployment.run_until([&] { return is_serving(deployment); }, serve_timeout));
    require_no_violations(deployment);
}

TEST_CASE("callers of nodes that lost the path to all upstreams are served through the other nodes",
          "[platform node]")
{
    auto settings = small_deployment_settings();
    settings.nodes_ = 5;
    test_deployment deployment(settings);
    start_serving(deployment);
    deployment.start_callers(15, 50ms);
    const std::set<int> cut_off{0, 1, 2};
    const auto kind = GENERATE(partition_kind::silent, partition_kind::reset, partition_kind::new_refused);
    INFO("partition " << static_cast<int>(kind));
    deployment.announce_fault(15s);
    deployment.partition_from_workers(cut_off, kind);
    deployment.run_for(3s); // The users' rule holds from then on.
    const auto since = deployment.now();
    deployment.run_for(4s);
    const auto served_share = [&](bool at_cut_off_nodes) {
        int sent = 0;
        int served = 0;
        for (const auto& [unused, request] : deployment.checker().requests()) {
            if (request.sent_at_ >= since && request.outcome_ != request_outcome::open &&
                cut_off.contains(request.node_) == at_cut_off_nodes) {
                ++sent;
                served += request.status_ == 200 ? 1 : 0;
            }
        }
        return static_cast<double>(served) / std::max(1, sent);
    };
    CHECK(served_share(false) > 0.95);
    CHECK(served_share(true) > served_share(false) * 2 / 3);
    deployment.partition_from_workers({}, kind);
    CHECK(deployment.run_until([&] { return is_serving(deployment); }, serve_timeout));
    require_no_violations(deployment);
}

TEST_CASE("an upstream that says in its responses that it leaves gets nothing new from any node",
          "[platform node]")
{
    test_deployment deployment(small_deployment_settings());
    start_serving(deployment);
    deployment.start_callers(10, 20ms);
    SECTION("while the store is away")
    {
        store_endpoint_faults outage;
        outage.hang_ = true;
        deployment.store().set_faults(outage);
        deployment.announce_fault(15s);
    }
    SECTION("while the store goes on listing it as ready") {}
    worker_faults leaving;
    leaving.says_leaving_ = true;
    deployment.worker_at(0).set_faults(leaving);
    deployment.run_for(platform_bounds::drain);
    const auto since = deployment.now();
    deployment.run_for(4s); // The worker writes its entry anew each second.
    CHECK(most_in_window(deployment.worker_at(0).arrival_times(), since, 4s) == 0);
    CHECK(is_serving(deployment));
    require_no_violations(deployment);
}

TEST_CASE("an upstream that refuses with Retry-After is left alone by that node, probes included",
          "[platform node]")
{
    auto settings = small_deployment_settings();
    settings.nodes_ = 1;
    settings.workers_per_service_ = 3;
    test_deployment deployment(settings);
    start_serving(deployment);
    worker_faults overloaded;
    overloaded.refuse_ = 1;
    overloaded.retry_after_s_ = 4;
    const auto begin = deployment.now();
    deployment.worker_at(0).set_faults(overloaded);
    deployment.start_callers(6, 20ms);
    deployment.run_for(4s);
    const auto& times = deployment.worker_at(0).arrival_times();
    // The platform's rule counts from half a second after the refusal to the end of the time given; a probe
    // that was answered before the refusal does not count.
    const auto late = std::count_if(times.begin(), times.end(), [&](time_point arrived) {
        return arrived > begin + 1s && arrived < begin + 4s;
    });
    CHECK(late <= 2);
    CHECK(is_serving(deployment));
    require_no_violations(deployment);
}

TEST_CASE("an upstream that limits its rate gets no more than that from all nodes, probes included",
          "[platform node]")
{
    constexpr double limit = 4;
    constexpr duration window = 4s;
    constexpr double allowed = 1.5 * limit * 4 + 5; // The users' rule for a window of 4 s.
    auto settings = small_deployment_settings();
    settings.nodes_ = 5;
    settings.workers_per_service_ = 3;
    test_deployment deployment(settings);
    start_serving(deployment);
    worker_faults in_need;
    in_need.rate_limit_ = limit;
    deployment.worker_at(0).set_faults(in_need);
    deployment.start_callers(20, 20ms);
    deployment.run_for(1s);
    const auto since = deployment.now();
    deployment.run_for(10s);
    const auto most = most_in_window(deployment.worker_at(0).arrival_times(), since, window);
    CHECK(static_cast<double>(most) <= allowed);
    CHECK(most > limit); // The upstream's own capacity is used.
    CHECK(is_serving(deployment));

    deployment.worker_at(0).set_faults({});
    const auto lifted = deployment.now();
    CHECK(deployment.run_until(
        [&] {
            return static_cast<double>(
                       most_in_window(deployment.worker_at(0).arrival_times(), lifted, window)) > 2 * allowed;
        },
        serve_timeout));
    require_no_violations(deployment);
}

} // namespace anvilpost::testing
