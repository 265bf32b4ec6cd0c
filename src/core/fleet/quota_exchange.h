// The quotas of organisations on a node that exchanges datagrams with others: ranks the nodes that can be
// coordinators, and sends the messages of this node's client and coordinator.
#pragma once

#include "core/fleet/peer_messages.h"
#include "core/fleet/peer_table.h"
#include "core/organisations/quota_client.h"
#include "core/organisations/quota_coordinator.h"
#include "ports/datagram_port.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace anvilpost {

/// Totals since the start of this node.
struct quota_exchange_counters {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t messages_received_ = 0;
    std::uint64_t passed_on_ = 0;          ///< Between nodes that cannot reach each other.
    std::uint64_t unknown_recipients_ = 0; ///< Messages that were not sent since the node is not known.
};

/// Does nothing while no organisation has a limit, except that it answers other nodes.
class quota_exchange {
public:
    quota_exchange(const clock_port& clock, datagram_port& datagrams, const peer_table& peers);
    quota_exchange(const quota_exchange&) = delete;
    quota_exchange& operator=(const quota_exchange&) = delete;
    ~quota_exchange() = default;

    void on_configuration(const configuration& effective);
    void on_tick();

    /// Handles a message about quotas.
    void on_message(const peer_message& message);

    [[nodiscard]] quota_client& client() { return client_; }
    [[nodiscard]] const quota_client& client() const { return client_; }
    [[nodiscard]] const quota_coordinator& coordinator() const { return coordinator_; }
    [[nodiscard]] const quota_exchange_counters& counters() const { return counters_; }

    /// Name of the node that has this node's share; empty when there is none.
    [[nodiscard]] std::string coordinator_name() const;

    /// The use of each organisation; where this node is the coordinator, as it counts it.
    [[nodiscard]] organisation_usages usages() const;

    /// The coordinator has changed; an empty name: none answers.
    std::function<void(const std::string& name)> on_coordinator_changed_;

private:
    void learn_peers(time_point now);
    void send_request(const quota_request& request);
    void send_answer(const quota_answer& answer);
    void send(node_identity to, const std::string& bytes);
    template <class Message>
    void pass_on(const Message& message);
    [[nodiscard]] std::string name_of_node(node_identity node) const;

    const clock_port& clock_;
    datagram_port& datagrams_;
    const peer_table& peers_;
    node_identity self_;
    fleet_size size_;
    quota_coordinator coordinator_;
    quota_client client_;
    std::unordered_map<node_identity, std::string> names_; ///< Of the peers that can be coordinators.
    bool has_limits_ = false;
    time_point learnt_at_{};
    quota_exchange_counters counters_;
};

} // namespace anvilpost
