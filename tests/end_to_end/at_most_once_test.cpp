// Tests with real processes that unrepeatable requests run at most once; the upstreams count executions.
#include "end_to_end/processes.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

using namespace anvilpost::testing;

TEST_CASE("a request with an idempotency key that is resent through every node runs once")
{
    fleet fleet(3, 2);
    fleet.put_desk();
    std::vector<std::future<http_response>> responses;
    for (int i = 0; i < 30; ++i) {
        responses.push_back(std::async(std::launch::async, [&fleet, i] {
            return fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-1"}, {"X-Stand-In-Ms", "50"}},
                              i % 3);
        }));
    }
    int served = 0;
    for (auto& pending : responses) {
        const auto response = pending.get();
        served += response.status_ == 200 ? 1 : 0;
        CHECK((response.status_ == 200 || response.verdict_ == "may_have_run"));
    }
    REQUIRE(served == 1);
    REQUIRE(fleet.executions("renew-1") == 1);
}

TEST_CASE("a request runs once although the store's response to its claim was lost")
{
    fleet fleet(2, 2);
    fleet.put_desk();
    fleet.set_platform_faults({{"lose_write_answers", 1}}, 0);
    const auto response = fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-2"}});
    REQUIRE(response.status_ == 200);
    REQUIRE(fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-2"}}, 1).status_ == 409);
    REQUIRE(fleet.executions("renew-2") == 1);
}

TEST_CASE("while the store is down a request with an idempotency key is not run and its resend runs once "
          "afterwards")
{
    fleet fleet(2, 2);
    fleet.put_desk();
    fleet.set_platform_faults({{"down", "refuse"}}, 0);
    const auto refused = fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-3"}});
    REQUIRE(refused.status_ == 503);
    REQUIRE(refused.verdict_ == "not_run");
    REQUIRE(fleet.executions("renew-3") == 0);
    REQUIRE(fleet.call("GET", "/page").status_ == 200);
    fleet.set_platform_faults(nlohmann::json::object(), 0);
    REQUIRE(eventually([&] {
        return fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-3"}}, 0).status_ == 200;
    }));
    REQUIRE(fleet.executions("renew-3") == 1);
}

TEST_CASE("a node paused while it claims a request does not run it after the request's deadline")
{
    fleet fleet(2, 2);
    fleet.put_desk();
    fleet.set_platform_faults({{"delay_ms", 300}}, 0);
    auto paused = std::async(std::launch::async, [&] {
        return fleet.call("POST", "/renew",
                          {{"Idempotency-Key", "renew-4"}, {"Anvilpost-Timeout-Ms", "800"}});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    fleet.nodes_[0]->signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    const auto resent = fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-4"}}, 1);
    fleet.nodes_[0]->signal(SIGCONT);
    const auto first = paused.get();
    INFO(first.status_ << " " << first.body_ << " / " << resent.status_ << " " << resent.body_);
    const int served = (first.status_ == 200 ? 1 : 0) + (resent.status_ == 200 ? 1 : 0);
    REQUIRE(served <= 1);
    REQUIRE(fleet.executions("renew-4") == served);
}

TEST_CASE("a request whose claiming node is killed runs at most once")
{
    fleet fleet(2, 1);
    fleet.put_desk();
    auto first = std::async(std::launch::async, [&] {
        return fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-5"}, {"X-Stand-In-Ms", "700"}});
    });
    REQUIRE(eventually([&] { return fleet.executions("renew-5") == 1; }));
    fleet.nodes_[0]->signal(SIGKILL);
    REQUIRE(first.get().status_ == 0);
    const auto resent = fleet.call("POST", "/renew", {{"Idempotency-Key", "renew-5"}}, 1);
    REQUIRE(resent.status_ == 409);
    REQUIRE(resent.verdict_ == "may_have_run");
    REQUIRE(fleet.executions("renew-5") == 1);
}

TEST_CASE("hundreds of claims are granted one after the other while their shards grow")
{
    fleet fleet(2, 2);
    fleet.put_desk();
    for (int i = 0; i < 600; ++i) {
        const auto response =
            fleet.call("POST", "/", {{"Idempotency-Key", "order-" + std::to_string(i)}}, i % 2);
        INFO("order " << i << ": " << response.status_ << " " << response.body_);
        REQUIRE(response.status_ == 200);
    }
}
