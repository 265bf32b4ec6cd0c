// Tests of the division of a service's slots among the nodes.
#include "core/upstreams/slot_ownership.h"

#include <catch2/catch.hpp>

using namespace anvilpost;

namespace {

service_config service_in_three_data_centres()
{
    service_config config;
    config.policy_.slots_ = 3;
    const std::string data_centres[] = {"gladstone", "bowen", "hinchinbrook"};
    for (int i = 0; i < 20; ++i) {
        config.upstreams_["u" + std::to_string(i)] = {"10.0.0.1", 80, data_centres[i % 3], "",
                                                      upstream_state::active};
    }
    return config;
}

std::vector<slot_owner> fifteen_nodes()
{
    const std::string data_centres[] = {"gladstone", "bowen", "hinchinbrook"};
    std::vector<slot_owner> owners;
    for (int i = 0; i < 15; ++i) {
        owners.push_back({"n" + std::to_string(i), data_centres[i % 3]});
    }
    return owners;
}

} // namespace

TEST_CASE("every slot has exactly one owner, and all nodes own the same number of slots")
{
    std::map<std::string, int> total;
    for (const auto& node : fifteen_nodes()) {
        int share = 0;
        for (const auto& [upstream, count] :
             count_owned_slots("log", service_in_three_data_centres(), fifteen_nodes(), node.name_)) {
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

TEST_CASE("no node owns slots of a leaving upstream")
{
    auto config = service_in_three_data_centres();
    config.upstreams_["u4"].state_ = upstream_state::leaving;
    for (const auto& node : fifteen_nodes()) {
        CHECK_FALSE(count_owned_slots("log", config, fifteen_nodes(), node.name_).contains("u4"));
    }
}

TEST_CASE("at least four fifths of the slots are owned by a node of their own data centre")
{
    int local_slots = 0;
    int all_slots = 0;
    const auto config = service_in_three_data_centres();
    for (const auto& node : fifteen_nodes()) {
        for (const auto& [upstream, count] : count_owned_slots("log", config, fifteen_nodes(), node.name_)) {
            all_slots += count;
            local_slots += config.upstreams_.at(upstream).data_centre_ == node.data_centre_ ? count : 0;
        }
    }
    INFO(local_slots << " of " << all_slots);
    REQUIRE(local_slots >= all_slots * 8 / 10);
}
