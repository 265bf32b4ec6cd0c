// Tests of route_table: finding the route of a call and distributing a route's calls by weight.
#include "core/configuration/route_table.h"
#include "support/split_mix.h"

#include <catch2/catch.hpp>
#include <map>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

route_config make_route(const std::string& name, const std::string& prefix, std::vector<route_target> targets)
{
    route_config result;
    result.name_ = name;
    result.host_ = "log.example";
    result.path_prefix_ = prefix;
    result.targets_ = std::move(targets);
    return result;
}

} // namespace

TEST_CASE("the route with the longest matching path prefix is found")
{
    configuration config;
    config.services_["log"] = {};
    config.routes_ = {make_route("all", "/a/", {{"log", 1}}), make_route("deep", "/a/b/", {{"log", 1}})};
    split_mix random;
    route_table table;
    table.apply(config, random);
    REQUIRE(table.find("log.example", "/a/b/c")->name_ == "deep");
    REQUIRE(table.find("log.example", "/a/x")->name_ == "all");
    REQUIRE(table.find("log.example", "/b/") == nullptr);
    REQUIRE(table.find("other.example", "/a/") == nullptr);
}

TEST_CASE("a service's host has an implicit route for every path that no other route matches")
{
    configuration config;
    config.services_["log"].hosts_ = {"log.example"};
    config.routes_ = {make_route("deep", "/a/", {{"log", 1}})};
    split_mix random;
    route_table table;
    table.apply(config, random);
    REQUIRE(table.find("log.example", "/a/x")->name_ == "deep");
    REQUIRE(table.find("log.example", "/elsewhere")->targets_.front().service_ == "log");
}

// A node that does not answer for the length of a heartbeat timeout counts as dead, so applying a
// configuration must take far less, whatever its weights are.
TEST_CASE("routes with large weights are applied without delay")
{
    constexpr int max_weight = 1'000'000;
    constexpr auto heartbeat_timeout = std::chrono::milliseconds(350);
    configuration config;
    std::vector<route_target> targets;
    for (int i = 0; i < 20; ++i) {
        targets.push_back({"s" + std::to_string(i), max_weight - i});
        config.services_["s" + std::to_string(i)] = {};
    }
    for (int i = 0; i < 20; ++i) {
        config.routes_.push_back(make_route("r" + std::to_string(i), "/" + std::to_string(i) + "/", targets));
    }
    split_mix random;
    route_table table;
    const auto start = std::chrono::steady_clock::now();
    table.apply(config, random);
    CHECK(std::chrono::steady_clock::now() - start < heartbeat_timeout);
}

TEST_CASE("windows of 200 calls match the weights to within one call while the configuration is reapplied")
{
    configuration config;
    config.services_["log"] = {};
    config.services_["desk"] = {};
    config.routes_ = {make_route("split", "/", {{"log", 87}, {"desk", 13}})};
    split_mix random;
    route_table table;
    table.apply(config, random);
    std::vector<bool> to_desk;
    for (int i = 0; i < 2000; ++i) {
        if (i % 70 == 0) {
            table.apply(config, random);
        }
        to_desk.push_back(table.next_service(*table.find("log.example", "/x")) == "desk");
    }
    for (std::size_t window_start = 0; window_start + 200 <= to_desk.size(); window_start += 50) {
        const auto count =
            std::count(to_desk.begin() + static_cast<std::ptrdiff_t>(window_start),
                       to_desk.begin() + static_cast<std::ptrdiff_t>(window_start) + 200, true);
        INFO("window starts at call " << window_start);
        REQUIRE(count >= 25);
        REQUIRE(count <= 27);
    }
}
