// Tests of the error-budget counts: windows, sums over nodes, burn rates and alerts.
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

call_record make_record(int status, duration latency, const std::string& upstream = "u1")
{
    call_record record;
    record.service_ = "desk";
    record.status_ = status;
    record.latency_ = latency;
    record.upstream_ = upstream;
    record.data_centre_ = "bowen";
    return record;
}

} // namespace

TEST_CASE("a failed call counts against both objectives, a slow one only against latency")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    ledger.on_call_finished(make_record(200, 50ms));
    ledger.on_call_finished(make_record(200, 150ms));
    ledger.on_call_finished(make_record(503, 1ms));
    ledger.on_call_finished(make_record(404, 1ms));
    const auto counts = ledger.report().at("desk").windows_.at(burn_window::five_minutes);
    REQUIRE(counts == outcome_counts{4, 1, 2});
}

TEST_CASE("a call is dropped from each window once it is older than the window")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    ledger.on_call_finished(make_record(503, 1ms));
    clock.advance(10min);
    ledger.on_call_finished(make_record(200, 1ms));
    const auto windows = ledger.report().at("desk").windows_;
    REQUIRE(windows.at(burn_window::five_minutes) == outcome_counts{1, 0, 0});
    REQUIRE(windows.at(burn_window::thirty_minutes) == outcome_counts{2, 1, 1});
    clock.advance(7h);
    REQUIRE(ledger.report().at("desk").windows_.at(burn_window::six_hours) == outcome_counts{0, 0, 0});
}

TEST_CASE("reports of several nodes can be exchanged as JSON and added up")
{
    manual_clock clock;
    burn_ledger a(clock);
    burn_ledger b(clock);
    a.apply(one_service());
    b.apply(one_service());
    a.on_call_finished(make_record(200, 1ms));
    b.on_call_finished(make_record(500, 1ms));
    auto sum = parse_burn_report(to_json(a.report()));
    sum["desk"].add(parse_burn_report(to_json(b.report()))["desk"]);
    REQUIRE(sum["desk"].windows_.at(burn_window::one_hour) == outcome_counts{2, 1, 1});
    REQUIRE(sum["desk"].failed_by_.at("upstream u1 in bowen") == 1);
}

TEST_CASE("a slow upstream is reported as the main cause and burns only the latency budget")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    for (int i = 0; i < 80; ++i) {
        ledger.on_call_finished(make_record(200, 10ms, "u2"));
    }
    for (int i = 0; i < 20; ++i) {
        ledger.on_call_finished(make_record(200, 300ms, "u1"));
    }
    const auto report = describe_burn(ledger.report(), one_service());
    REQUIRE(report["desk"]["availability"]["bad"] == 0);
    REQUIRE(report["desk"]["latency"]["burn_rate"]["5m"].get<double>() == Approx(2.0));
    REQUIRE(report["desk"]["latency"]["budget_left"].get<double>() == Approx(-1.0));
    REQUIRE(report["desk"]["latency"]["mostly_by"] == "upstream u1 in bowen (20)");
    REQUIRE(report["desk"]["latency"]["alert"] == "");
}

TEST_CASE("a burn rate above the threshold in both windows of a pair raises a page alert")
{
    manual_clock clock;
    burn_ledger ledger(clock);
    ledger.apply(one_service());
    for (int i = 0; i < 10; ++i) {
        ledger.on_call_finished(make_record(i < 2 ? 503 : 200, 1ms));
    }
    const auto report = describe_burn(ledger.report(), one_service());
    REQUIRE(report["desk"]["availability"]["burn_rate"]["1h"].get<double>() == Approx(20.0));
    REQUIRE(report["desk"]["availability"]["alert"] == "page");
}
