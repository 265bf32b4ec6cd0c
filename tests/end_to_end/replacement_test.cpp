// Tests under load: planned and unplanned replacement of all nodes, a store outage meanwhile, silent upstream
// connections, and the probe budget.
#include "end_to_end/processes.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <set>

using namespace anvilpost::testing;
using nlohmann::json;

namespace {

/// Caller threads that send one call after another, each to a node that reports ready, as the platform's
/// balancer does.
class background_callers {
public:
    background_callers(fleet& target, int threads) : fleet_(target)
    {
        for (int i = 0; i < threads; ++i) {
            threads_.emplace_back([this, i] { run(i); });
        }
    }
    background_callers(const background_callers&) = delete;
    background_callers& operator=(const background_callers&) = delete;
    ~background_callers() { stop(); }

    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    std::atomic<int> served_{0};
    std::atomic<int> aborted_{0};         ///< Calls that got no complete response.
    std::atomic<int> wrongly_not_run_{0}; ///< Calls answered as not run although they ran.

private:
    void run(int index)
    {
        int next = index;
        while (!stopping_) {
            const int node = next++ % static_cast<int>(fleet_.nodes_.size());
            if (send(fleet_.admin_port(node), "GET", "/ready").status_ != 200) {
                continue;
            }
            const std::string key = "c" + std::to_string(index) + "-" + std::to_string(next);
            const bool unrepeatable = next % 3 == 0;
            const auto response = unrepeatable ? fleet_.call("POST", "/", {{"Idempotency-Key", key}}, node)
                                               : fleet_.call("GET", "/", {{"X-Echo", key}}, node);
            if (response.status_ == 200) {
                ++served_;
            }
            else if (response.status_ == 0) {
                ++aborted_;
            }
            else if (response.verdict_ == "not_run" && unrepeatable && fleet_.executions(key) > 0) {
                ++wrongly_not_run_;
            }
        }
    }

    fleet& fleet_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE(
    "replacing every node by planned stops under load aborts no call, even with the store down meanwhile")
{
    fleet fleet(3, 3);
    fleet.put_desk();
    background_callers callers(fleet, 4);
    REQUIRE(eventually([&] { return callers.served_ > 50; }));
    for (int i = 0; i < 3; ++i) {
        if (i == 1) {
            fleet.set_platform_faults({{"down", "refuse"}}, 0);
            fleet.set_platform_faults({{"down", "refuse"}}, 1);
        }
        fleet.nodes_[static_cast<std::size_t>(i)]->signal(SIGTERM);
        REQUIRE(fleet.nodes_[static_cast<std::size_t>(i)]->wait() == 0);
        fleet.start_node(i);
        REQUIRE(eventually([&] { return send(fleet.admin_port(i), "GET", "/ready").status_ == 200; }));
        if (i == 1) {
            fleet.set_platform_faults(json::object(), 0);
            fleet.set_platform_faults(json::object(), 1);
        }
    }
    callers.stop();
    INFO("served " << callers.served_);
    REQUIRE(callers.aborted_ == 0);
    REQUIRE(callers.wrongly_not_run_ == 0);
}

TEST_CASE("killing nodes aborts only calls in flight, and no call that ran is answered as not run")
{
    fleet fleet(3, 3);
    fleet.put_desk();
    background_callers callers(fleet, 4);
    REQUIRE(eventually([&] { return callers.served_ > 50; }));
    for (int i = 0; i < 3; ++i) {
        fleet.nodes_[static_cast<std::size_t>(i)]->signal(SIGKILL);
        fleet.nodes_[static_cast<std::size_t>(i)]->wait();
        fleet.start_node(i);
        REQUIRE(eventually([&] { return send(fleet.admin_port(i), "GET", "/ready").status_ == 200; }));
    }
    callers.stop();
    INFO("served " << callers.served_ << ", aborted " << callers.aborted_);
    // Each caller has one call in flight, so each of the 3 kills can abort at most one call of each of the 4
    // callers.
    REQUIRE(callers.aborted_ <= 3 * 4);
    REQUIRE(callers.wrongly_not_run_ == 0);
}

TEST_CASE("silent connections delay no repeatable call by its full timeout and duplicate no unrepeatable one")
{
    fleet fleet(1, 2);
    fleet.put_desk({{"timeout_ms", 3000}, {"hedge_share", 0.5}});
    for (int i = 0; i < 80; ++i) {
        REQUIRE(fleet.call("GET", "/").status_ == 200);
    }
    fleet.set_upstream_faults(0, {{"silent", true}});
    int slow = 0;
    for (int i = 0; i < 20; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        const auto response = fleet.call("GET", "/");
        const auto took = std::chrono::steady_clock::now() - begin;
        CHECK(response.status_ == 200);
        slow += took > std::chrono::milliseconds(2500) ? 1 : 0;
    }
    REQUIRE(slow == 0);
    for (int i = 0; i < 10; ++i) {
        const std::string key = "renew-" + std::to_string(i);
        const auto response = fleet.call("POST", "/", {{"Idempotency-Key", key}});
        CHECK((response.status_ == 200 || response.verdict_ == "may_have_run"));
        CHECK(fleet.executions(key) <= 1);
    }
}

TEST_CASE("idle upstreams are probed and the probes stay within the budget")
{
    // A budget of 2 probes per second for at most 2 nodes allows each node one probe every 1.02 s.
    fleet fleet(2, 2);
    fleet.put_desk({{"probes_per_second", 2.0}});
    fleet.apply_changes(json::array({{{"change", "put_fleet"}, {"value", {{"max_nodes", 2}}}}}));
    const auto probes = [&] {
        int sum = 0;
        for (int i = 0; i < 2; ++i) {
            const auto sent = send(fleet.admin_port(i), "GET", "/v1/burn/local").json_["desk"];
            sum += sent.value("probes_sent", 0);
        }
        return sum;
    };
    const auto begin = std::chrono::steady_clock::now();
    // An upstream is probed once it has been idle for 10 s, so at least two probes must be sent within 40 s.
    REQUIRE(eventually([&] { return probes() >= 2; }, 40));
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    INFO("probes " << probes() << " in " << took.count() << " s");
    REQUIRE(probes() <= 2.0 * took.count() + 2);
}
