// Tests of mesh_agent: several agents connected by a fake network in virtual time.
#include "core/fakes.h"
#include "core/fleet/mesh_agent.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

class fake_network;

/// The mesh port of one agent. The network pairs the links of both ends.
class fake_port : public mesh_port {
public:
    fake_port(fake_network& network, std::uint16_t own) : network_(network), own_(own) {}
    link_id connect(const std::string& ip, std::uint16_t port) override;
    void send(link_id link, const std::string& bytes) override;
    void close(link_id link) override;

    fake_network& network_;
    std::uint16_t own_;
};

class fake_network {
public:
    /// The nodes' random numbers differ between seeds.
    explicit fake_network(std::uint64_t seed = 0) : seed_(seed) {}

    /// Adds a node; `number` is also its mesh port. Seeds are given by number.
    mesh_agent& add(std::uint16_t number, const std::string& data_centre, std::vector<std::uint16_t> seeds,
                    const std::string& secret = "secret")
    {
        auto added = std::make_unique<node>(*this, number);
        node* self = added.get();
        mesh_handlers handlers;
        handlers.on_configuration_ = [self](const nlohmann::json& document) {
            self->revision_ = document.at("revision").get<std::uint64_t>();
        };
        handlers.configuration_ = [self] { return nlohmann::json{{"revision", self->revision_}}; };
        handlers.on_leaving_ = [self](const leaving_message&) { ++self->leaving_received_; };
        handlers.on_strike_ = [self](const strike_message&) { ++self->strikes_received_; };
        handlers.on_probe_result_ = [](const probe_result_message&) {};
        handlers.prove_ = [secret](const std::string& nonce) { return secret + nonce; };
        handlers.verify_ = [secret](const std::string& nonce, const std::string& proof) {
            return proof == secret + nonce;
        };
        handlers.on_refused_link_ = [](const std::string&) {};
        const member self_member{
            "n" + std::to_string(number), 1, data_centre, "10.0.0.1", number, "", 0, 0, 0, false};
        added->agent_ =
            std::make_unique<mesh_agent>(clock_, self->random_, self->port_, self_member, handlers);
        std::vector<mesh_seed> addresses;
        for (const auto seed : seeds) {
            addresses.push_back({"10.0.0.1", seed});
        }
        added->agent_->set_seeds(addresses);
        nodes_[number] = std::move(added);
        return *nodes_[number]->agent_;
    }

    void run(duration length)
    {
        for (duration passed{}; passed < length; passed += mesh_agent::tick_period) {
            clock_.advance(mesh_agent::tick_period);
            for (auto& [unused, running] : nodes_) {
                running->agent_->on_tick();
            }
            deliver();
        }
    }

    void deliver()
    {
        while (!events_.empty()) {
            const auto event = std::move(events_.front());
            events_.pop_front();
            event();
        }
    }

    struct node {
        node(fake_network& network, std::uint16_t number)
            : port_(network, number), random_(network.seed_ * 1000 + number)
        {
        }
        fake_port port_;
        split_mix random_;
        std::unique_ptr<mesh_agent> agent_;
        std::uint64_t revision_ = 0;
        int leaving_received_ = 0;
        int strikes_received_ = 0;
    };

    struct end {
        std::uint16_t node_ = 0;
        link_id link_{};
    };

    void enqueue(std::function<void()> event) { events_.push_back(std::move(event)); }

    std::uint64_t seed_;
    manual_clock clock_;
    std::map<std::uint16_t, std::unique_ptr<node>> nodes_;
    std::map<link_id, end> other_end_;    ///< The other end of each link; holds both directions.
    std::set<std::uint16_t> partitioned_; ///< Messages from and to these nodes are lost.
    std::uint64_t next_link_ = 1;

private:
    std::deque<std::function<void()>> events_;
};

link_id fake_port::connect(const std::string&, std::uint16_t port)
{
    const link_id local_link{network_.next_link_++};
    const link_id remote_link{network_.next_link_++};
    const auto own = own_;
    auto& network = network_;
    if (!network.nodes_.contains(port) || network.partitioned_.contains(port) ||
        network.partitioned_.contains(own)) {
        network.enqueue(
            [&network, own, local_link] { network.nodes_.at(own)->agent_->on_closed(local_link); });
        return local_link;
    }
    network.other_end_[local_link] = {port, remote_link};
    network.other_end_[remote_link] = {own, local_link};
    network.enqueue([&network, own, local_link, port, remote_link] {
        network.nodes_.at(own)->agent_->on_connected(local_link);
        network.nodes_.at(port)->agent_->on_accepted(remote_link);
    });
    return local_link;
}

void fake_port::send(link_id link, const std::string& bytes)
{
    const auto found = network_.other_end_.find(link);
    if (found == network_.other_end_.end()) {
        return;
    }
    const auto to = found->second;
    auto& network = network_;
    if (network.partitioned_.contains(own_) || network.partitioned_.contains(to.node_)) {
        return;
    }
    network.enqueue(
        [&network, to, bytes] { network.nodes_.at(to.node_)->agent_->on_message(to.link_, bytes); });
}

void fake_port::close(link_id link)
{
    const auto found = network_.other_end_.find(link);
    if (found == network_.other_end_.end()) {
        return;
    }
    const auto to = found->second;
    auto& network = network_;
    network.other_end_.erase(link);
    network.other_end_.erase(to.link_);
    if (!network.partitioned_.contains(own_)) {
        network.enqueue([&network, to] { network.nodes_.at(to.node_)->agent_->on_closed(to.link_); });
    }
}

} // namespace

TEST_CASE("nodes discover each other through seeds and keep one link per pair")
{
    fake_network network;
    for (std::uint16_t i = 1; i <= 5; ++i) {
        network.add(i, "atlanta", {1});
    }
    network.run(10s);
    for (auto& [number, node] : network.nodes_) {
        INFO("node " << number);
        CHECK(node->agent_->members().live(network.clock_.now()).size() == 4);
        CHECK(node->agent_->links() == 4);
    }
}

TEST_CASE("two groups of nodes that do not know each other are joined through a seed")
{
    fake_network network;
    network.add(1, "atlanta", {2});
    network.add(2, "atlanta", {1});
    network.add(3, "atlanta", {4, 1});
    network.add(4, "atlanta", {3});
    network.run(30s);
    REQUIRE(network.nodes_[2]->agent_->members().live(network.clock_.now()).size() == 3);
}

// Two nodes that are linked only through the third learn of each other from its heartbeats or by trying a
// seed that they do not know; both must not be left to chance.
TEST_CASE("the nodes of a small fleet know each other within 10 s with any random numbers")
{
    const std::uint16_t nodes = GENERATE(2, 3, 4);
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        fake_network network(seed);
        for (std::uint16_t i = 0; i < nodes; ++i) {
            network.add(i, "dc-" + std::to_string(i % 3), {0, 1});
        }
        network.run(10s);
        for (auto& [number, node] : network.nodes_) {
            INFO(nodes << " nodes, seed " << seed << ", node " << number);
            REQUIRE(node->agent_->members().live(network.clock_.now()).size() + 1 == nodes);
        }
    }
}

TEST_CASE("a node has few links to other data centres")
{
    fake_network network;
    for (std::uint16_t i = 1; i <= 18; ++i) {
        network.add(i, "dc-" + std::to_string(i % 3), {1, 2, 3});
    }
    network.run(20s);
    for (auto& [number, node] : network.nodes_) {
        INFO("node " << number);
        CHECK(node->agent_->members().live(network.clock_.now()).size() == 17);
        CHECK(node->agent_->links() <= 5 + 12);
    }
}

TEST_CASE("a new revision reaches every node within two heartbeats")
{
    fake_network network;
    for (std::uint16_t i = 1; i <= 15; ++i) {
        network.add(i, "dc-" + std::to_string(i % 3), {1, 2});
    }
    network.run(20s);
    network.nodes_[7]->revision_ = 5;
    network.nodes_[7]->agent_->announce_revision(5);
    network.deliver();
    for (int round = 0; round < 4; ++round) {
        for (auto& [unused, node] : network.nodes_) {
            if (node->revision_ > node->agent_->members().self().revision_) {
                node->agent_->announce_revision(node->revision_);
            }
        }
        network.run(mesh_agent::tick_period);
    }
    for (auto& [number, node] : network.nodes_) {
        INFO("node " << number);
        CHECK(node->revision_ == 5);
    }
}

TEST_CASE("a leaving notice reaches every node once")
{
    fake_network network;
    for (std::uint16_t i = 1; i <= 9; ++i) {
        network.add(i, "dc-" + std::to_string(i % 3), {1, 2});
    }
    network.run(20s);
    network.nodes_[4]->agent_->broadcast_leaving({"desk", "u1", ""});
    network.deliver();
    for (auto& [number, node] : network.nodes_) {
        INFO("node " << number);
        CHECK(node->leaving_received_ == (number == 4 ? 0 : 1));
    }
}

TEST_CASE("a node that remembers as many notices as it can forgets the oldest first")
{
    fake_network network;
    network.add(1, "atlanta", {2});
    network.add(2, "atlanta", {1});
    network.run(5s);
    auto& sender = *network.nodes_[1]->agent_;
    const auto notify = [&](const std::string& upstream) {
        sender.broadcast_leaving({"desk", upstream, ""});
        network.deliver();
    };
    constexpr int many = 10'000;
    for (int i = 0; i < many; ++i) {
        notify("z" + std::to_string(i));
    }
    notify("a");
    notify("b");
    notify("a");
    REQUIRE(network.nodes_[2]->leaving_received_ == many + 2);
}

TEST_CASE("a node with a wrong secret gets no link and no members")
{
    fake_network network;
    network.add(1, "atlanta", {2});
    network.add(2, "atlanta", {1});
    network.add(3, "atlanta", {1, 2}, "wrong");
    network.run(10s);
    REQUIRE(network.nodes_[3]->agent_->links() == 0);
    REQUIRE(network.nodes_[3]->agent_->members().known().empty());
    REQUIRE(network.nodes_[1]->agent_->members().known().size() == 1);
}

TEST_CASE("a silent node is detected as dead and linked again when it returns")
{
    fake_network network;
    for (std::uint16_t i = 1; i <= 3; ++i) {
        network.add(i, "atlanta", {1, 2});
    }
    network.run(10s);
    network.partitioned_.insert(3);
    network.run(20s);
    REQUIRE(network.nodes_[1]->agent_->members().live(network.clock_.now()).size() == 1);
    REQUIRE(network.nodes_[1]->agent_->links() == 1);
    network.partitioned_.clear();
    network.run(10s);
    REQUIRE(network.nodes_[1]->agent_->links() == 2);
    REQUIRE(network.nodes_[3]->agent_->links() == 2);
}

TEST_CASE("messages of another version or type, or with fields of a wrong type, are rejected")
{
    const auto encoded = [](const nlohmann::json& document) {
        const auto bytes = nlohmann::json::to_cbor(document);
        return std::string(bytes.begin(), bytes.end());
    };
    REQUIRE(decode_mesh_message(encoded({{"v", 1}, {"t", "want"}, {"newer_than", 3}, {"extra", true}}))
                .has_value());
    REQUIRE_FALSE(decode_mesh_message(encoded({{"v", 2}, {"t", "want"}, {"newer_than", 3}})).has_value());
    REQUIRE_FALSE(decode_mesh_message(encoded({{"v", 1}, {"t", "want"}, {"newer_than", "x"}})).has_value());
    REQUIRE_FALSE(decode_mesh_message(encoded({{"v", 1}, {"t", "unheard"}})).has_value());
    REQUIRE_FALSE(decode_mesh_message(encoded({{"v", 1}})).has_value());
    REQUIRE_FALSE(decode_mesh_message("").has_value());
}
