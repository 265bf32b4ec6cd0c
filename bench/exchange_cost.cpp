// Measures the cost per node of the state exchange between nodes, for fleets of several sizes: messages,
// bytes and processor time per second. Nodes run in virtual time without sockets. docs/CAPACITY.md quotes the
// table printed.
#include "core/exchange_network.h"

#include <chrono>
#include <cstdio>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

constexpr int upstreams_per_node = 2;
constexpr duration warm_up = 3s;
constexpr duration measured = 2s;
constexpr duration probe_period = 60ms;

/// Cost of the exchange, averaged over the nodes unless stated otherwise.
struct cost {
    double milliseconds_ = 0; ///< Processor time per node and second.
    double sent_ = 0;         ///< Messages, per node and second.
    double most_sent_ = 0;    ///< Messages per second of the busiest node.
    double kilobytes_ = 0;    ///< Bytes sent per node and second, in kB.
};

/// Records a probe result of each upstream on each node whose duty it is to probe it.
void probe(network& net)
{
    for (const auto& node : net.nodes_) {
        for (const auto& [name, upstream] : net.config_.services_.at("log").upstreams_) {
            if (node->exchange_.duties().probes(name, upstream.data_centre_)) {
                node->exchange_.note_load("log", name, {2, 6, 1.5}, true, true);
            }
        }
    }
}

/// Runs a fleet with upstreams spread evenly over the data centres and measures it after the warm-up.
cost measure(int nodes, int data_centres)
{
    network net;
    auto& upstreams = net.config_.services_["log"].upstreams_;
    upstreams.clear();
    const auto place = [&](int i) { return "dc-" + std::to_string(i % data_centres); };
    for (int i = 0; i < nodes * upstreams_per_node; ++i) {
        upstreams["upstream-" + std::to_string(i)] = {"10.0.0.9", 80, place(i), "", upstream_state::active};
    }
    for (int i = 0; i < nodes; ++i) {
        net.add("node-" + std::to_string(i), place(i));
    }
    net.run(warm_up);
    std::vector<exchange_counters> before;
    for (const auto& node : net.nodes_) {
        before.push_back(node->exchange_.counters());
    }
    const auto start = std::chrono::steady_clock::now();
    for (duration done{}; done < measured; done += probe_period) {
        probe(net);
        net.run(probe_period);
    }
    const std::chrono::duration<double, std::milli> taken = std::chrono::steady_clock::now() - start;
    cost total;
    const double node_seconds = nodes * std::chrono::duration<double>(measured).count();
    total.milliseconds_ = taken.count() / node_seconds;
    for (std::size_t i = 0; i < net.nodes_.size(); ++i) {
        const auto& now = net.nodes_[i]->exchange_.counters();
        const auto sent = static_cast<double>(now.messages_sent_ - before[i].messages_sent_);
        total.sent_ += sent / node_seconds;
        total.most_sent_ = std::max(total.most_sent_, sent / std::chrono::duration<double>(measured).count());
        total.kilobytes_ +=
            static_cast<double>(now.bytes_sent_ - before[i].bytes_sent_) / 1000 / node_seconds;
    }
    return total;
}

} // namespace

int main()
{
    std::printf("| nodes | data centres | ms/s | messages/s | busiest | KB/s |\n|---|---|---|---|---|---|\n");
    for (const auto& [nodes, data_centres] : {std::pair{13, 3}, {30, 3}, {109, 3}, {300, 9}}) {
        const auto found = measure(nodes, data_centres);
        std::printf("| %d | %d | %.1f | %.0f | %.0f | %.1f |\n", nodes, data_centres, found.milliseconds_,
                    found.sent_, found.most_sent_, found.kilobytes_);
    }
}
