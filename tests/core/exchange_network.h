// A simulated network in virtual time. Its nodes use the real gossip exchange, view follower and call engine;
// only datagrams, upstreams, callers, claims and the store are replaced.
#pragma once

#include "core/fakes.h"
#include "core/fleet/peer_exchange.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// A store that never answers. Tests set the nodes' views themselves.
class unresponsive_store : public registry_store_port {
public:
    void read_all(items_callback) override { ++calls_; }
    void changes_since(std::uint64_t, duration, items_callback) override { ++calls_; }
    int calls_ = 0;
};

class network;

/// One node, with the real parts under test.
struct exchange_node : public datagram_port {
    exchange_node(network& net, const manual_clock& clock, const std::string& name,
                  const std::string& data_centre);

    /// Queues a datagram on the network; while partitioned, drops it.
    void send(const std::string& ip, std::uint16_t port, const std::string& bytes) override;

    network& network_;
    split_mix random_;
    recording_upstreams upstreams_;
    recording_callers callers_;
    recording_claims claims_;
    recording_observer observer_;
    unresponsive_store store_;
    call_engine engine_;
    view_follower follower_;
    peer_exchange exchange_;
    std::string ip_;
    bool partitioned_ = false; ///< Neither sends nor receives.
    std::string cut_from_;     ///< Data centre to and from which nothing passes.
    int fetches_ = 0;          ///< Calls of `on_later_view_`.
};

/// Delivers datagrams without delay or loss and advances the clock of all nodes.
class network {
public:
    /// Adds a node. Its only seed is the first node that was added.
    exchange_node& add(const std::string& name, const std::string& data_centre)
    {
        nodes_.push_back(std::make_unique<exchange_node>(*this, clock_, name, data_centre));
        auto& added = *nodes_.back();
        added.exchange_.set_seeds({{nodes_.front()->ip_, 1}});
        added.exchange_.on_configuration(config_);
        added.engine_.apply(config_);
        return added;
    }

    /// Applies `config_` at all nodes.
    void apply_config()
    {
        ++config_.revision_;
        for (auto& node : nodes_) {
            node->exchange_.on_configuration(config_);
            node->engine_.apply(config_);
        }
    }

    /// Lets all nodes tick for a time, and delivers what they send.
    void run(duration length)
    {
        const auto end = clock_.now() + length;
        while (clock_.now() < end) {
            for (auto& node : nodes_) {
                node->exchange_.on_tick();
            }
            deliver();
            clock_.advance(peer_exchange::tick_period);
        }
    }

    /// Delivers the queued datagrams, and those that are sent in reply.
    void deliver()
    {
        while (!in_transit_.empty()) {
            const auto [ip, bytes] = in_transit_.front();
            in_transit_.pop_front();
            for (auto& node : nodes_) {
                if (node->ip_ == ip && !node->partitioned_) {
                    node->exchange_.on_datagram(bytes);
                }
            }
        }
    }

    [[nodiscard]] const exchange_node* find(const std::string& ip) const
    {
        for (const auto& node : nodes_) {
            if (node->ip_ == ip) {
                return node.get();
            }
        }
        return nullptr;
    }

    manual_clock clock_;
    configuration config_ = [] {
        configuration config;
        config.revision_ = 1;
        config.services_["log"].policy_.picker_ = picker_kind::earliest_finish;
        config.services_["log"].upstreams_["u1"] = {"10.0.0.9", 80, "north", "", upstream_state::active};
        return config;
    }();
    std::vector<std::unique_ptr<exchange_node>> nodes_;
    std::deque<std::pair<std::string, std::string>> in_transit_;
};

inline exchange_node::exchange_node(network& net, const manual_clock& clock, const std::string& name,
                                    const std::string& data_centre)
    : network_(net), engine_({clock, random_, upstreams_, callers_, claims_, observer_}),
      follower_(store_, clock, random_, {}),
      exchange_({clock, random_, *this, follower_, engine_},
                {name, 1, data_centre, "10.0.0." + std::to_string(net.nodes_.size() + 1), 1, 2, 200, false, 3,
                 false, peer_capability::quotas}),
      ip_(exchange_.peers().self().ip_)
{
    engine_.choose_peer_ = [this](const std::string& service, const std::set<std::string>& tried) {
        return exchange_.choose_serving_peer(service, tried);
    };
    engine_.on_peer_unreached_ = [this](const std::string& peer) { exchange_.record_unreached_peer(peer); };
    engine_.on_warm_up_ = [this](const std::string& service, const std::string& upstream, duration left,
                                 bool is_news) {
        exchange_.record_warm_up(service, upstream, left, is_news);
    };
    exchange_.on_later_view_ = [this](const peer&, std::uint64_t) { ++fetches_; };
}

inline void exchange_node::send(const std::string& ip, std::uint16_t, const std::string& bytes)
{
    const auto* to = network_.find(ip);
    const bool cut =
        to != nullptr && !cut_from_.empty() && to->exchange_.peers().self().data_centre_ == cut_from_;
    if (!partitioned_ && !cut) {
        network_.in_transit_.emplace_back(ip, bytes);
    }
}

} // namespace anvilpost::testing
