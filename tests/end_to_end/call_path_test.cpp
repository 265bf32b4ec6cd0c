// Tests the call path with real processes and sockets: complete responses, correct verdicts, limits and HTTP
// framing.
#include "end_to_end/processes.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <future>

using namespace anvilpost::testing;

TEST_CASE("a node forwards a call to an upstream and the response back to the caller")
{
    fleet fleet(1, 2);
    fleet.put_desk();
    const auto response = fleet.call("GET", "/page", {{"X-Echo", "diver-7"}});
    REQUIRE(response.status_ == 200);
    REQUIRE(response.json_["echo"] == "diver-7");
}

TEST_CASE("a call for an unknown host is answered with 404 as not run")
{
    fleet fleet(1, 1);
    const auto response = send(fleet.call_port(0), "GET", "/", "", {{"Host", "nobody.example"}});
    REQUIRE(response.status_ == 404);
    REQUIRE(response.verdict_ == "not_run");
    REQUIRE(response.json_["verdict"] == "not_run");
}

TEST_CASE("requests with ambiguous framing are refused and their connection closed")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const std::vector<std::string> ambiguous{
        "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "GET / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 35\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: "
        "a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: desk.example\r\nHost: other.example\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    };
    for (const auto& bytes : ambiguous) {
        const auto received = send_raw(fleet.call_port(0), bytes);
        INFO(bytes << "\n-> " << received);
        CHECK(received.starts_with("HTTP/1.1 400"));
        CHECK(received.find("HTTP/1.1", 8) == std::string::npos);
    }
    REQUIRE(fleet.executions("-") == 0);
}

TEST_CASE("a body over the limit is refused with 413 as not run")
{
    fleet fleet(1, 1, {}, {"--max_body_kb=64"});
    fleet.put_desk();
    const auto response = fleet.call("POST", "/upload", {}, 0, std::string(256 * 1024, 'x'));
    REQUIRE(response.status_ == 413);
    REQUIRE(response.verdict_ == "not_run");
    REQUIRE(fleet.executions("-") == 0);
}

TEST_CASE("a truncated upstream response is never passed on as a complete one")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const auto received =
        send_raw(fleet.call_port(0), "GET / HTTP/1.1\r\nHost: desk.example\r\nX-Stand-In: cut\r\n\r\n");
    INFO(received);
    REQUIRE_FALSE(received.starts_with("HTTP/1.1 200"));
    // A short response is passed on only once it is complete, so the caller of a truncated one gets a problem
    // document instead.
    const auto response = fleet.call("GET", "/", {{"X-Stand-In", "cut"}});
    REQUIRE(response.status_ == 502);
    REQUIRE(response.verdict_ == "may_have_run");
}

// Guards against callers that wait for ever: see docs/incidents/magnolia-truncated-response.md.
TEST_CASE("a response that stops half-way on an open connection ends soon after the call's timeout")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const auto sent = std::chrono::steady_clock::now();
    const auto received = send_raw(
        fleet.call_port(0),
        "GET / HTTP/1.1\r\nHost: desk.example\r\nX-Stand-In: stall\r\nAnvilpost-Timeout-Ms: 300\r\n\r\n");
    INFO(received);
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(std::chrono::steady_clock::now() - sent < std::chrono::seconds(2)); // send_raw gives up after 3 s.
    CHECK(eventually([&] { return fleet.status(0).value("in_flight", -1) == 0; }));
    CHECK(fleet.call("GET", "/").status_ == 200);
}

TEST_CASE("surplus bytes that an upstream sends after a response never reach the next caller")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    fleet.set_upstream_faults(0, {{"surplus", true}});
    for (int i = 0; i < 20; ++i) {
        const std::string echo = "caller-" + std::to_string(i);
        const auto response = fleet.call("GET", "/", {{"X-Echo", echo}});
        INFO(response.body_);
        REQUIRE(response.status_ == 200);
        REQUIRE(response.json_["echo"] == echo);
    }
}

TEST_CASE("each of many concurrent callers receives its own response")
{
    fleet fleet(1, 2);
    fleet.put_desk();
    std::vector<std::future<http_response>> responses;
    for (int i = 0; i < 40; ++i) {
        responses.push_back(std::async(std::launch::async, [&fleet, i] {
            return fleet.call(
                "GET", "/", {{"X-Echo", "c" + std::to_string(i)}, {"X-Stand-In-Ms", std::to_string(i % 7)}});
        }));
    }
    for (int i = 0; i < 40; ++i) {
        const auto response = responses[static_cast<std::size_t>(i)].get();
        INFO(response.body_);
        REQUIRE(response.json_["echo"] == "c" + std::to_string(i));
    }
}

TEST_CASE("a call that no upstream answers in time is answered as may have run with a retry time")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const auto response =
        fleet.call("POST", "/", {{"X-Stand-In-Ms", "5000"}, {"Anvilpost-Timeout-Ms", "200"}});
    REQUIRE(response.status_ == 504);
    REQUIRE(response.verdict_ == "may_have_run");
    REQUIRE(response.json_.contains("retry_after_s"));
}

TEST_CASE("a call whose caller disconnects is cancelled at the upstream")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    auto caller = std::async(std::launch::async, [&] {
        return send_raw(fleet.call_port(0),
                        "GET / HTTP/1.1\r\nHost: desk.example\r\nX-Stand-In-Ms: 8000\r\n\r\n");
    });
    caller.wait(); // send_raw gives up after 3 s and closes its connection.
    REQUIRE(eventually([&] {
        return send(fleet.upstream_port(0), "GET", "/stand-in/executions").json_.value("cancelled", 0) == 1;
    }));
    REQUIRE(eventually([&] { return fleet.status(0).value("in_flight", -1) == 0; }));
}

TEST_CASE("a call whose upstreams all refuse connections is answered as not run")
{
    fleet fleet(1, 2);
    fleet.put_desk();
    fleet.upstreams_.clear();
    fleet.upstreams_.resize(2);
    const auto response = fleet.call("POST", "/");
    REQUIRE(response.status_ == 503);
    REQUIRE(response.verdict_ == "not_run");
}

TEST_CASE("a call whose upstream crashes is answered as may have run and later calls go to another")
{
    fleet fleet(1, 2);
    fleet.put_desk();
    const auto response = fleet.call("POST", "/", {{"X-Stand-In", "crash"}});
    REQUIRE(response.status_ == 502);
    REQUIRE(response.verdict_ == "may_have_run");
    for (int i = 0; i < 10; ++i) {
        REQUIRE(fleet.call("POST", "/", {{"X-Echo", "after"}}).status_ == 200);
    }
}

TEST_CASE("a node that receives SIGTERM finishes its request in flight and exits with 0")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    auto caller = std::async(std::launch::async, [&] {
        return fleet.call("GET", "/", {{"X-Echo", "slow"}, {"X-Stand-In-Ms", "1500"}});
    });
    REQUIRE(eventually([&] { return fleet.status(0).value("in_flight", 0) == 1; }));
    fleet.nodes_[0]->signal(SIGTERM);
    REQUIRE(eventually([&] { return send(fleet.admin_port(0), "GET", "/ready").status_ == 503; }));
    const auto response = caller.get();
    REQUIRE(response.status_ == 200);
    REQUIRE(response.json_["echo"] == "slow");
    REQUIRE(fleet.nodes_[0]->wait() == 0);
}

TEST_CASE("a second SIGTERM ends a draining node at once with exit code 1")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    auto caller = std::async(std::launch::async, [&] {
        return fleet.call("GET", "/", {{"X-Stand-In-Ms", "9000"}});
    });
    REQUIRE(eventually([&] { return fleet.status(0).value("in_flight", 0) == 1; }));
    fleet.nodes_[0]->signal(SIGTERM);
    REQUIRE(eventually([&] { return fleet.status(0).value("stage", "") != "running"; }));
    fleet.nodes_[0]->signal(SIGTERM);
    REQUIRE(fleet.nodes_[0]->wait() == 1);
    REQUIRE(caller.get().status_ == 0);
}

TEST_CASE("a node with invalid settings does not start and exits with 2")
{
    program_process wrong("src/anvilpostd", {"--listen=nowhere", "--drain_timeout_ms=-1", "--colour=red"});
    REQUIRE(wrong.wait() == 2);
}

TEST_CASE("an upstream that announces in a response that it is leaving gets no new calls")
{
    fleet fleet(1, 2);
    fleet.put_desk();
    fleet.set_upstream_faults(0, {{"draining", true}});
    REQUIRE(eventually([&] {
        fleet.call("GET", "/");
        return fleet.status(0)["services"]["desk"]["upstreams"]["u0"].value("leaving", false);
    }));
    const auto port = fleet.upstream_port(0);
    for (int i = 0; i < 30; ++i) {
        REQUIRE(fleet.call("GET", "/").json_["port"] != port);
    }
}

TEST_CASE("closed caller connections release their file descriptors")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const auto descriptors = [&] {
        const std::filesystem::path folder = "/proc/" + std::to_string(fleet.nodes_[0]->pid()) + "/fd";
        return std::distance(std::filesystem::directory_iterator(folder),
                             std::filesystem::directory_iterator());
    };
    for (int i = 0; i < 300; ++i) {
        REQUIRE(fleet.call("GET", "/").status_ == 200);
    }
    INFO("descriptors: " << descriptors());
    REQUIRE(eventually([&] { return descriptors() < 100; }, 5));
}

TEST_CASE("malformed or oversized request heads are refused with a problem document and a verdict")
{
    fleet fleet(1, 1, {}, {"--max_header_kb=4"});
    fleet.put_desk();
    const std::vector<std::pair<std::string, std::string>> bad{
        {"BREW /pot HTTP/1.1\r\nHost: desk.example\r\n\r\n", "HTTP/1.1 400"},
        {"nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"GET / HTTP/1.1\r\nHost: desk.example\r\nno colon\r\n\r\n", "HTTP/1.1 400"},
        {"POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 5x\r\n\r\nhello", "HTTP/1.1 400"},
        {"GET / HTTP/1.1\r\nHost: desk.example\r\nA: " + std::string(5000, 'a') + "\r\n\r\n", "HTTP/1.1 431"},
    };
    for (const auto& [bytes, expected] : bad) {
        const auto received = send_raw(fleet.call_port(0), bytes);
        INFO(bytes.substr(0, 80) << "\n-> " << received);
        CHECK(received.starts_with(expected));
        CHECK(received.find("Anvilpost-Verdict: not_run") != std::string::npos);
        CHECK(received.find("application/problem+json") != std::string::npos);
    }
    REQUIRE(fleet.call("GET", "/").status_ == 200);
    REQUIRE(fleet.executions("-") == 1);
}

TEST_CASE("pipelined requests on a connection are answered in order")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const std::string one = "GET /1 HTTP/1.1\r\nHost: desk.example\r\nX-Echo: first\r\n\r\n";
    const std::string two = "POST /2 HTTP/1.1\r\nHost: desk.example\r\nX-Echo: second\r\nConnection: "
                            "close\r\nContent-Length: 2\r\n\r\nab";
    const auto received = send_raw(fleet.call_port(0), one + two);
    INFO(received);
    REQUIRE(received.find("first") < received.find("second"));
    REQUIRE(received.find("second") != std::string::npos);
}

TEST_CASE("a pipelined request that arrives in several pieces is read completely")
{
    fleet fleet(1, 1);
    fleet.put_desk();
    const std::string one = "GET /1 HTTP/1.1\r\nHost: desk.example\r\nX-Echo: first\r\n\r\n";
    const std::string head = "POST /2 HTTP/1.1\r\nHost: desk.example\r\nX-Echo: second\r\nConnection: "
                             "close\r\nContent-Length: 20\r\n\r\n";
    const auto received = send_raw(fleet.call_port(0),
                                   {one + head.substr(0, 30), head.substr(30) + "0123456789", "no head\nat"});
    INFO(received);
    REQUIRE(received.find("second") != std::string::npos);
    REQUIRE(received.find(" 400 ") == std::string::npos);
}

TEST_CASE("a node holds no more connections to an upstream than its share")
{
    fleet fleet(1, 1, {"--slots=50"});
    fleet.put_desk({{"slots", 50}, {"worker_connections", 4}, {"hedge_share", 1.0}});
    std::vector<std::future<http_response>> responses;
    for (int i = 0; i < 60; ++i) {
        responses.push_back(std::async(std::launch::async, [&fleet, i] {
            return fleet.call(i % 3 == 0 ? "POST" : "GET", "/", {{"X-Stand-In-Ms", "20"}});
        }));
    }
    for (auto& response : responses) {
        CHECK(response.get().status_ == 200);
    }
    const auto metrics = send(fleet.admin_port(0), "GET", "/metrics").body_;
    INFO(metrics);
    REQUIRE(metrics.find("anvilpost_upstream_connections_most_open 4\n") != std::string::npos);
}

TEST_CASE("the caller's remaining time is passed on to the upstream, less the time spent in the queue")
{
    fleet fleet(1, 1, {"--slots=1"});
    fleet.put_desk({{"slots", 1}});
    const auto direct = fleet.call("GET", "/", {{"Anvilpost-Timeout-Ms", "3000"}});
    const int passed_on = std::stoi(direct.json_["timeout_ms"].get<std::string>());
    REQUIRE(passed_on > 0);
    REQUIRE(passed_on <= 3000);
    auto first = std::async(std::launch::async, [&] {
        return fleet.call("POST", "/", {{"X-Stand-In-Ms", "500"}});
    });
    REQUIRE(eventually([&] { return fleet.status(0).value("in_flight", 0) == 1; }));
    const auto waited = fleet.call("POST", "/", {{"Anvilpost-Timeout-Ms", "3000"}});
    first.wait();
    INFO(waited.body_);
    REQUIRE(waited.status_ == 200);
    REQUIRE(std::stoi(waited.json_["timeout_ms"].get<std::string>()) < passed_on);
}

TEST_CASE("request bodies that would exceed the memory limit are refused with 503 as not run")
{
    fleet fleet(1, 1, {"--slots=50"}, {"--max_held_mb=1", "--max_arriving_mb=64"});
    fleet.put_desk({{"slots", 50}});
    const std::string body(400 * 1024, 'x');
    std::vector<std::future<http_response>> responses;
    for (int i = 0; i < 8; ++i) {
        responses.push_back(std::async(std::launch::async, [&fleet, &body] {
            return fleet.call("POST", "/", {{"X-Stand-In-Ms", "700"}}, 0, body);
        }));
    }
    int served = 0;
    int refused = 0;
    for (auto& pending : responses) {
        const auto response = pending.get();
        served += response.status_ == 200 ? 1 : 0;
        refused += response.status_ == 503 && response.verdict_ == "not_run" ? 1 : 0;
    }
    INFO("served " << served << ", refused " << refused);
    REQUIRE(served + refused == 8);
    REQUIRE(refused >= 1);
    REQUIRE(fleet.executions("-") == served);
    REQUIRE(eventually([&] { return fleet.call("POST", "/", {}, 0, body).status_ == 200; }));
}
