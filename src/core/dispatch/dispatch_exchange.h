// This node's part in dispatch: connects the call engine, the client, the dispatcher and the datagrams.
#pragma once

#include "core/calls/call_engine.h"
#include "core/dispatch/dispatch_client.h"
#include "core/dispatch/dispatcher.h"
#include "core/dispatch/dispatcher_selection.h"
#include "core/fleet/peer_exchange.h"
#include "ports/datagram_port.h"

#include <functional>
#include <string>
#include <vector>

namespace anvilpost {

/// Totals since the start, for metrics.
struct dispatch_exchange_counters {
    std::uint64_t messages_sent_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t messages_received_ = 0;
    std::uint64_t unreadable_ = 0;
    std::uint64_t stale_ = 0; ///< Dropped because this node was frozen meanwhile.
};

/// The parts of a node that dispatch works with. All must outlive it.
struct dispatch_exchange_ports {
    const clock_port& clock_;
    random_port& random_;
    datagram_port& datagrams_;
    const peer_table& peers_;
    call_engine& engine_;
};

class dispatch_exchange : public dispatch_port {
public:
    /// Dispatch is on from `from_nodes` nodes; 0: never. Sets itself as the engine's dispatch port where it
    /// can be on.
    dispatch_exchange(const dispatch_exchange_ports& ports, std::size_t from_nodes);
    dispatch_exchange(const dispatch_exchange&) = delete;
    dispatch_exchange& operator=(const dispatch_exchange&) = delete;
    ~dispatch_exchange() override;

    void on_configuration(const configuration& effective);

    /// Must be called every `peer_exchange::tick_period`.
    void on_tick();

    /// Handles a datagram if it belongs to dispatch; returns false for any other.
    bool on_datagram(const std::string& bytes);

    /// This node stops: nodes that wait here turn to the next dispatcher.
    void announce_stopping();

    /// Sends what has been collected; see `on_flush_due_`.
    void flush();

    /// Returns when `on_wakeup` must be called next, if at all.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    void on_wakeup();

    /// Called when there is something to send; must cause a call of `flush` soon, but not inside this call.
    std::function<void()> on_flush_due_;

    [[nodiscard]] bool grants_slots(const std::string& service) const override;
    void request_slot(const call& wanted, duration work, time_point deadline,
                      const std::set<std::string>& tried) override;
    void withdraw(call_id call) override { client_.withdraw(call); }
    void release(slot_id slot, const slot_end& end) override { client_.release(slot, end); }
    void on_load(const std::string& service, const std::string& upstream, const load_report& report,
                 time_point measured_at) override;
    void on_probe(const std::string& service, const std::string& upstream, bool answered, bool healthy,
                  time_point measured_at) override;

    [[nodiscard]] const std::vector<std::string>& services() const { return services_; }
    [[nodiscard]] bool on() const { return selection_.on(); }
    [[nodiscard]] const dispatcher_selection& selection() const { return selection_; }
    [[nodiscard]] const dispatch_client& client() const { return client_; }
    [[nodiscard]] const dispatcher& own_dispatcher() const { return dispatcher_; }

    /// Sets the listener for slot requests that this node refuses as a dispatcher.
    void on_refused(std::function<void(const slot_refusal&)> listener)
    {
        dispatcher_.on_refused_ = std::move(listener);
    }

    [[nodiscard]] const dispatch_exchange_counters& counters() const { return counters_; }

private:
    void deliver(const std::string& to, dispatch_message message);
    void handle(const dispatch_message& message);
    [[nodiscard]] std::optional<sender_address> address_of(const std::string& node) const;

    dispatch_exchange_ports ports_;
    std::size_t from_nodes_;
    dispatch_outbox outbox_;
    dispatcher_selection selection_;
    dispatcher dispatcher_;
    dispatch_client client_;
    std::vector<std::string> services_;                ///< With the earliest-finish picker, sorted.
    std::map<std::string, sender_address> introduced_; ///< By name; nodes that the peer table lacks.
    time_point last_tick_{};
    time_point next_selection_{};
    dispatch_exchange_counters counters_;
};

} // namespace anvilpost
