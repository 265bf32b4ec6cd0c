// Tests of caller_server over loopback connections, in one thread with the server's event loop. Upstreams,
// claims and the observer of the call engine are fakes.
#include "adapters/http/caller_server.h"
#include "adapters/loopback_caller.h"
#include "core/fakes.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

/// Keeps the calls that were started.
class started_calls : public recording_observer {
public:
    void on_decision(const call_decision& decision) override
    {
        if (decision.kind_ == decision_kind::started) {
            calls_.push_back(*decision.call_);
        }
    }
    std::vector<call> calls_;
};

struct server_fixture {
    explicit server_fixture(const caller_limits& limits = {})
        : server_(loop_, clock_, random_, "127.0.0.1", 0, limits, {}, "entry-1", organisations_)
    {
        server_.connect(engine_, pool_);
    }

    void run_for(duration length) { run_loop(loop_, length); }

    /// Puts a configuration in force whose route for all paths of desk.example leads to `service`.
    void put_in_force(std::uint64_t revision, const std::string& service)
    {
        configuration config;
        config.revision_ = revision;
        auto& target = config.services_[service];
        target.policy_.slots_ = 1'000;
        target.upstreams_["u1"] = {"127.0.0.1", 9001, "", "", upstream_state::active};
        config.routes_ = {{"all", "desk.example", "/", {{service}}}};
        server_.apply(config);
        engine_.apply(config);
        server_.set_configured(true);
    }

    template <class Condition>
    bool run_until(Condition condition)
    {
        return run_loop_until(loop_, condition);
    }

    event_loop loop_;
    steady_clock clock_;
    split_mix random_;
    recording_upstreams upstreams_;
    recording_claims claims_;
    started_calls observer_;
    upstream_pool pool_{loop_, clock_, {}, {}};
    organisation_directory organisations_;
    caller_server server_;
    call_engine engine_{{clock_, random_, upstreams_, server_, claims_, observer_}};
};

/// The head of an upload of `length` bytes, without the body.
std::string upload_head(std::size_t length)
{
    return "POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

} // namespace

TEST_CASE("a problem in response to HEAD has no body")
{
    server_fixture fixture;
    test_caller caller(fixture.server_.port());
    caller.send("HEAD / HTTP/1.1\r\nHost: nobody.example\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    fixture.run_for(20ms);
    INFO(caller.received());
    CHECK(caller.received().starts_with("HTTP/1.1 404"));
    CHECK(caller.received().ends_with("\r\n\r\n"));
}

TEST_CASE("the oldest request that waits for a configuration is refused in time while others arrive")
{
    server_fixture fixture;
    fixture.server_.set_configured(false);
    test_caller first(fixture.server_.port());
    const std::string request = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n";
    first.send(request);
    std::vector<std::unique_ptr<test_caller>> others;
    for (int i = 0; i < 10 && first.received().empty(); ++i) {
        others.push_back(std::make_unique<test_caller>(fixture.server_.port()));
        others.back()->send(request);
        fixture.run_for(100ms);
    }
    INFO("requests that arrived later: " << others.size());
    // The bound is 400 ms; later requests must not extend it.
    CHECK(others.size() < 7);
    CHECK(first.received().starts_with("HTTP/1.1 503"));
    CHECK(first.received().find("not_run") != std::string::npos);
}

TEST_CASE("a request that arrives while the configuration may be out of date is routed by the next one")
{
    server_fixture fixture;
    fixture.put_in_force(1, "desk");
    bool current = false;
    fixture.server_.is_current_ = [&] { return current; };
    test_caller caller(fixture.server_.port());
    caller.send("GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n");
    fixture.run_for(50ms);
    CHECK(fixture.observer_.calls_.empty());
    fixture.put_in_force(2, "stock");
    current = true;
    fixture.server_.start_waiting_calls();
    REQUIRE(fixture.run_until([&] { return !fixture.observer_.calls_.empty(); }));
    CHECK(fixture.observer_.calls_[0].service_ == "stock");
}

TEST_CASE("requests are refused as not run when the configuration stays out of date")
{
    server_fixture fixture;
    fixture.put_in_force(1, "desk");
    fixture.server_.is_current_ = [] { return false; };
    test_caller caller(fixture.server_.port());
    caller.send("GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return !caller.received().empty(); }));
    CHECK(caller.received().starts_with("HTTP/1.1 503"));
    CHECK(caller.received().find("not_run") != std::string::npos);
    CHECK(caller.received().find("Retry-After: ") != std::string::npos);
    CHECK(fixture.observer_.calls_.empty());
}

TEST_CASE("a request that a node with a later configuration forwarded is not routed by an older one")
{
    server_fixture fixture;
    fixture.put_in_force(7, "desk");
    test_caller caller(fixture.server_.port());
    caller.send("GET / HTTP/1.1\r\nHost: desk.example\r\nAnvilpost-Forwarded-Attempts: 1\r\n"
                "Anvilpost-Forwarded-Revision: 9\r\n\r\n");
    fixture.run_for(50ms);
    CHECK(fixture.observer_.calls_.empty());
    fixture.put_in_force(8, "desk");
    fixture.run_for(50ms);
    CHECK(fixture.observer_.calls_.empty());
    fixture.put_in_force(9, "stock");
    REQUIRE(fixture.run_until([&] { return !fixture.observer_.calls_.empty(); }));
    CHECK(fixture.observer_.calls_[0].service_ == "stock");
    // An older sender, and one of a build that states no revision, do not wait.
    for (const std::string stated : {"Anvilpost-Forwarded-Revision: 8\r\n", ""}) {
        test_caller other(fixture.server_.port());
        other.send("GET / HTTP/1.1\r\nHost: desk.example\r\nAnvilpost-Forwarded-Attempts: 1\r\n" + stated +
                   "\r\n");
        const auto before = fixture.observer_.calls_.size();
        CHECK(fixture.run_until([&] { return fixture.observer_.calls_.size() > before; }));
    }
}

TEST_CASE("a request that would exceed the memory for arriving requests is refused as not run")
{
    caller_limits limits;
    limits.max_arriving_bytes_ = 100'000;
    server_fixture fixture(limits);
    const std::string part(60'000, 'x');
    auto first = std::make_unique<test_caller>(fixture.server_.port());
    first->send(upload_head(200'000) + part);
    fixture.run_for(50ms);
    test_caller second(fixture.server_.port());
    second.send(upload_head(200'000) + part);
    REQUIRE(fixture.run_until([&] { return second.received().find("not_run") != std::string::npos; }));
    CHECK(second.received().starts_with("HTTP/1.1 503"));
    CHECK(second.received().find("Retry-After: ") != std::string::npos);
    CHECK(first->received().empty());

    first.reset();
    fixture.run_for(50ms);
    test_caller third(fixture.server_.port());
    third.send(upload_head(200'000) + part);
    fixture.run_for(50ms);
    CHECK(third.received().empty());
}

TEST_CASE("first tries with timeouts that differ by up to 15% are not taken for retries")
{
    server_fixture fixture;
    configuration config;
    auto& service = config.services_["desk"];
    service.hosts_ = {"desk.example"};
    service.policy_.slots_ = 1'000;
    service.upstreams_["u1"] = {"127.0.0.1", 9001, "", "", upstream_state::active};
    config.routes_ = {{"desk", "desk.example", "/", {{"desk"}}}};
    fixture.server_.apply(config);
    fixture.engine_.apply(config);
    std::vector<std::unique_ptr<test_caller>> callers;
    const std::string time_left = header_names{}.time_left_;
    const std::vector<int> timeouts{1725, 1275, 1610, 1500, 1333, 1700, 1450, 1290, 1551, 1390, 1640, 1405};
    for (const int timeout : timeouts) {
        callers.push_back(std::make_unique<test_caller>(fixture.server_.port()));
        callers.back()->send("GET / HTTP/1.1\r\nHost: desk.example\r\n" + time_left + ": " +
                             std::to_string(timeout) + "\r\n\r\n");
        fixture.run_for(2ms);
    }
    REQUIRE(fixture.run_until([&] { return fixture.observer_.calls_.size() == timeouts.size(); }));
    for (const auto& started : fixture.observer_.calls_) {
        CHECK_FALSE(started.is_resend_);
        CHECK(started.objective_ == started.arrival_ + config.routes_[0].objective_);
    }
}
