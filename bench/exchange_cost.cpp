// Measures the cost per node of the state exchange between nodes, for fleets of several sizes: messages,
// bytes and processor time per second. Nodes run in virtual time without sockets. docs/CAPACITY.md quotes the
// table printed.
#include "core/exchange_network.h"

#include <cstdio>
#include <ctime>

using namespace anvilpost;
using namespace anvilpost::testing;

namespace {

constexpr int upstreams_per_node = 2;
constexpr duration warm_up_time = 3s;
constexpr duration measurement_time = 2s;
constexpr duration probe_period = 60ms;

/// Cost of the exchange, averaged over the nodes unless stated otherwise.
struct cost {
    double cpu_ms_ = 0;           ///< Processor time per node and second.
    double messages_ = 0;         ///< Messages, per node and second.
    double busiest_messages_ = 0; ///< Messages per second of the busiest node.
    double kilobytes_ = 0;        ///< Bytes sent per node and second, in kB.
};

/// Records a probe result of each upstream on each node whose duty it is to probe it.
void record_probe_results(network& net)
{
    for (const auto& node : net.nodes_) {
        for (const auto& [name, upstream] : net.config_.services_.at("log").upstreams_) {
            if (node->exchange_.duties().probes(name, upstream.data_centre_)) {
                node->exchange_.record_load("log", name, {2, 6, 1.5}, true, true);
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
    const auto data_centre_of = [&](int i) { return "dc-" + std::to_string(i % data_centres); };
    for (int i = 0; i < nodes * upstreams_per_node; ++i) {
        upstreams["upstream-" + std::to_string(i)] = {"10.0.0.9", 80, data_centre_of(i), "",
                                                      upstream_state::active};
    }
    for (int i = 0; i < nodes; ++i) {
        net.add("node-" + std::to_string(i), data_centre_of(i));
    }
    net.run(warm_up_time);
    std::vector<exchange_counters> before;
    for (const auto& node : net.nodes_) {
        before.push_back(node->exchange_.counters());
    }
    const auto start = std::clock();
    for (duration done{}; done < measurement_time; done += probe_period) {
        record_probe_results(net);
        net.run(probe_period);
    }
    constexpr double ms_per_s = 1000;
    const double elapsed_ms = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC * ms_per_s;
    cost total;
    const double node_seconds = nodes * std::chrono::duration<double>(measurement_time).count();
    total.cpu_ms_ = elapsed_ms / node_seconds;
    for (std::size_t i = 0; i < net.nodes_.size(); ++i) {
        const auto& now = net.nodes_[i]->exchange_.counters();
        const auto sent = static_cast<double>(now.messages_sent_ - before[i].messages_sent_);
        total.messages_ += sent / node_seconds;
        total.busiest_messages_ =
            std::max(total.busiest_messages_, sent / std::chrono::duration<double>(measurement_time).count());
        total.kilobytes_ +=
            static_cast<double>(now.bytes_sent_ - before[i].bytes_sent_) / 1000 / node_seconds;
    }
    return total;
}

} // namespace

int main()
{
    std::printf("| nodes | data centres | ms/s | messages/s | busiest | KB/s |\n|---|---|---|---|---|---|\n");
    for (const auto& [nodes, data_centres] : {std::pair{13, 3}, {30, 3}, {109, 3}, {300, 9}, {472, 5}}) {
        const auto result = measure(nodes, data_centres);
        std::printf("| %d | %d | %.1f | %.0f | %.0f | %.1f |\n", nodes, data_centres, result.cpu_ms_,
                    result.messages_, result.busiest_messages_, result.kilobytes_);
    }
}
