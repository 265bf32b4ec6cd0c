// Tests of the division of slots among nodes.
#include "core/upstreams/slot_ownership.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

namespace {

service_config reefline_log()
{
    service_config config;
    config.policy_.slots_ = 3;
    const std::string places[] = {"gladstone", "bowen", "hinchinbrook"};
    for (int i = 0; i < 20; ++i) {
        config.upstreams_["u" + std::to_string(i)] = {"10.0.0.1", 80, places[i % 3], "",
                                                      upstream_state::active};
    }
    return config;
}

std::vector<slot_owner> fifteen_nodes()
{
    const std::string places[] = {"gladstone", "bowen", "hinchinbrook"};
    std::vector<slot_owner> owners;
    for (int i = 0; i < 15; ++i) {
        owners.push_back({"n" + std::to_string(i), places[i % 3]});
    }
    return owners;
}

} // namespace

TEST_CASE("every slot has exactly one owner and every node the same share")
{
    std::map<std::string, int> total;
    for (const auto& node : fifteen_nodes()) {
        int share = 0;
        for (const auto& [upstream, count] : own_slots("log", reefline_log(), fifteen_nodes(), node.name_)) {
            total[upstream] += count;
            share += count;
        }
        INFO(node.name_);
        CHECK(share == 4);
    }
    REQUIRE(total.size() == 20);
    for (const auto& [upstream, count] : total) {
        INFO(upstream);
        CHECK(count == 3);
    }
}

TEST_CASE("slots of a leaving upstream are owned by nobody")
{
    auto config = reefline_log();
    config.upstreams_["u4"].state_ = upstream_state::leaving;
    for (const auto& node : fifteen_nodes()) {
        CHECK_FALSE(own_slots("log", config, fifteen_nodes(), node.name_).contains("u4"));
    }
}

TEST_CASE("a node owns mostly slots of its own data centre")
{
    int near = 0;
    int all = 0;
    const auto config = reefline_log();
    for (const auto& node : fifteen_nodes()) {
        for (const auto& [upstream, count] : own_slots("log", config, fifteen_nodes(), node.name_)) {
            all += count;
            near += config.upstreams_.at(upstream).data_centre_ == node.data_centre_ ? count : 0;
        }
    }
    INFO(near << " of " << all);
    REQUIRE(near >= all * 8 / 10);
}
