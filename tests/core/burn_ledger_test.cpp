// Tests of the burn ledger: windows, merging, rates, alerts.
#include "core/burn/burn_ledger.h"
#include "core/fakes.h"

#include <catch2/catch.hpp>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

configuration one_service()
{
    configuration config;
    config.services_["desk"].objective_ = {0.99, 100ms, 0.9};
    return config;
}

call_record record(int status, duration latency, const std::string& upstream = "u1")
{
    call_record made;
    made.service_ = "desk";
    made.status_ = status;
    made.latency_ = latency;
    made.upstream_ = upstream;
    made.data_centre_ = "bowen";
    return made;
}

} // namespace

TEST_CASE("good, slow and failed calls are told apart")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    ledger.on_call_finished(record(200, 50ms));
    ledger.on_call_finished(record(200, 150ms));
    ledger.on_call_finished(record(503, 1ms));
    ledger.on_call_finished(record(404, 1ms));
    const auto counts = ledger.report().at("desk").windows_.at(burn_window::five_minutes);
    REQUIRE(counts == call_counts{4, 1, 2});
}

TEST_CASE("old minutes leave the short windows first")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    ledger.on_call_finished(record(503, 1ms));
    clock.advance(10min);
    ledger.on_call_finished(record(200, 1ms));
    const auto windows = ledger.report().at("desk").windows_;
    REQUIRE(windows.at(burn_window::five_minutes) == call_counts{1, 0, 0});
    REQUIRE(windows.at(burn_window::thirty_minutes) == call_counts{2, 1, 1});
    clock.advance(7h);
    REQUIRE(ledger.report().at("desk").windows_.at(burn_window::six_hours) == call_counts{0, 0, 0});
}

TEST_CASE("reports of several nodes add up and survive their JSON form")
{
    manual_clock clock;
    burn_ledger a(clock);
    burn_ledger b(clock);
    a.apply(one_service());
    b.apply(one_service());
    a.on_call_finished(record(200, 1ms));
    b.on_call_finished(record(500, 1ms));
    auto sum = parse_burn_report(to_json(a.report()));
    sum["desk"].add(parse_burn_report(to_json(b.report()))["desk"]);
    REQUIRE(sum["desk"].windows_.at(burn_window::one_hour) == call_counts{2, 1, 1});
    REQUIRE(sum["desk"].failed_by_.at("upstream u1 in bowen") == 1);
}

TEST_CASE("a straggler shows as the main cause and burns the latency budget only")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    for (int i = 0; i < 80; ++i) {
        ledger.on_call_finished(record(200, 10ms, "u2"));
    }
    for (int i = 0; i < 20; ++i) {
        ledger.on_call_finished(record(200, 300ms, "u1"));
    }
    const auto report = describe_burn(ledger.report(), one_service());
    REQUIRE(report["desk"]["availability"]["bad"] == 0);
    REQUIRE(report["desk"]["latency"]["burn_rate"]["5m"].get<double>() == Approx(2.0));
    REQUIRE(report["desk"]["latency"]["budget_left"].get<double>() == Approx(-1.0));
    REQUIRE(report["desk"]["latency"]["mostly_by"] == "upstream u1 in bowen (20)");
    REQUIRE(report["desk"]["latency"]["alert"] == "");
}

TEST_CASE("a fast burn in both windows of the pair calls for a page")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    for (int i = 0; i < 10; ++i) {
        ledger.on_call_finished(record(i < 2 ? 503 : 200, 1ms));
    }
    const auto report = describe_burn(ledger.report(), one_service());
    REQUIRE(report["desk"]["availability"]["burn_rate"]["1h"].get<double>() == Approx(20.0));
    REQUIRE(report["desk"]["availability"]["alert"] == "page");
}
