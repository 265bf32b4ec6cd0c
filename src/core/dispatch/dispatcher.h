// Grants slots of a service's upstreams to the nodes of the fleet. One node that knows every call in flight
// of a service does not send two calls to the same free slot, as nodes do that choose by load reports which
// are tens of milliseconds old.
//
// Every node can be a dispatcher; it is one for the services for which other nodes ask it. It keeps a service
// in the same form as the call engine does (`service_state`), with the granted slots as its calls in flight,
// so that both choose by the same estimate. docs/design/dispatch.md.
#pragma once

#include "core/calls/service_state.h"
#include "core/configuration/configuration.h"
#include "core/dispatch/dispatch_outbox.h"
#include "core/dispatch/granted_connections.h"
#include "ports/clock_port.h"
#include "ports/dispatch_port.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace anvilpost {

/// Totals since the start, for metrics.
struct dispatcher_counters {
    std::uint64_t requests_ = 0;
    std::uint64_t granted_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t expired_ = 0;   ///< Grants that were neither released nor renewed.
    std::uint64_t took_over_ = 0; ///< Slots that holders reported and this node had not granted.
};

/// A refused slot request, and what the dispatcher knew of its service when it was last considered.
struct slot_refusal {
    std::string service_;
    int priority_ = 0;
    duration work_{}; ///< Expected.
    duration to_objective_{};
    duration to_deadline_{};
    hold_reason held_ = hold_reason::no_room; ///< Why it got no slot.
    duration offered_finish_{};               ///< Expected at the upstream that was offered, if any was.
    double typical_slowdown_ = 1.0;
    double slots_ = 0;        ///< Of the upstreams that receive calls.
    int granted_ = 0;         ///< Slots granted now.
    std::size_t waiting_ = 0; ///< Other requests of the service that wait.
};

/// Invariants: a slot request (node and number) is queued or granted, at most once; the calls in flight of a
/// pool's upstream are the grants of that upstream.
class dispatcher {
public:
    dispatcher(const clock_port& clock, random_port& random, dispatch_outbox& outbox);

    void on_configuration(const configuration& effective);

    /// Handles what a node in `data_centre` asks, releases and renews.
    void on_message(const dispatch_message& message, const std::string& data_centre);

    /// Load and reachability of upstreams, as for `call_engine`.
    void on_load(const std::string& service, const std::string& upstream, const load_report& report,
                 time_point measured_at);
    void on_probe(const std::string& service, const std::string& upstream, bool answered, bool healthy,
                  time_point measured_at);

    /// Grants nothing from now on, and sends the nodes that wait to the next dispatcher.
    void stop();

    /// Returns when `on_wakeup` must be called next, if at all.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Ends expired grants, and grants or refuses slots to waiting requests.
    void on_wakeup();

    /// Returns false for an upstream at which no slots are granted now. Without this function, all are.
    std::function<bool(const std::string& service, const std::string& upstream)> may_grant_;

    /// Returns what is known of the upstreams of a service when its first request arrives.
    std::function<const service_state*(const std::string& service)> initial_loads_;

    /// Called for each request that is refused.
    std::function<void(const slot_refusal& refused)> on_refused_;

    [[nodiscard]] const dispatcher_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t granted() const { return grants_.size(); }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

private:
    /// The node that asks and its number for the request.
    using request_key = std::pair<std::string, std::uint32_t>;

    struct upstream_name {
        std::string service_;
        std::string upstream_;
    };

    struct grant {
        upstream_name at_;
        std::optional<call> call_; ///< Unknown for a slot that was taken over.
        std::uint64_t kind_ = 0;
        time_point granted_at_{};
        time_point expires_at_{};
        duration cumulative_work_at_start_{};
        int running_at_start_ = 1;
    };

    struct waiting_request {
        request_key key_;
        call call_;
        std::uint64_t kind_ = 0;
        std::set<std::string> tried_;
        std::string data_centre_;
        time_point last_asked_{};
        bool counted_as_late_ = false;            ///< It waits although it can no longer meet its objective.
        hold_reason held_ = hold_reason::no_room; ///< Why it got no slot when it was last tried.
        duration offered_finish_{};               ///< Expected at the upstream that it was then offered.
    };

    struct pool {
        service_state state_;
        std::set<std::string> withheld_; ///< Upstreams at which no slots are granted, as of the last check.
        time_point next_check_{};
    };

    pool* find_pool(std::uint32_t service);
    pool* find_pool(const std::string& service);
    void on_request(const slot_request& request, const std::string& node, const std::string& data_centre);
    void on_release(const slot_release& release, const std::string& node);
    void on_renewal(const slot_renewal& renewal, const std::string& node);
    bool try_grant(pool& from, waiting_request& request);
    /// Decides whether the request is queued, and refuses waiting ones that it displaces.
    bool may_wait(pool& in, const waiting_request& request);
    /// Refuses the waiting requests that should not wait any longer, and returns the order of the others.
    /// `arriving` is decided about too; its refusal is not sent. Only for services scheduled by cost.
    admission_decision schedule(pool& in, const waiting_request* arriving);
    [[nodiscard]] std::vector<call_id> order_of_service(pool& in);
    [[nodiscard]] static waiting_call as_waiting(const pool& in, const call& wanted, std::uint64_t kind);
    /// The request must not be queued any more.
    void refuse(pool& in, const waiting_request& request, duration expected_wait);
    void answer(const request_key& key, slot_answer_kind kind, std::uint32_t upstream, duration time);
    void end_grant(const request_key& key, const slot_release& release);
    void serve_queue(pool& served);
    void give_up_waiting(pool& in);
    void remove_waiting(call_id id);
    void check_withheld(pool& checked);

    const clock_port& clock_;
    random_port& random_;
    dispatch_outbox& outbox_;
    configuration config_;
    std::unordered_map<std::uint32_t, std::string> services_;    ///< By `service_key`.
    std::unordered_map<std::uint32_t, upstream_name> upstreams_; ///< By `upstream_key`.
    std::map<std::string, pool> pools_;                          ///< By service; made by the first request.
    std::map<request_key, grant> grants_;
    std::unordered_map<std::string, granted_connections> connections_; ///< By node.
    std::map<call_id, waiting_request> waiting_;
    std::map<request_key, call_id> waiting_by_key_;
    std::uint64_t next_call_ = 1;
    time_point next_expiry_check_{};
    time_point next_queue_check_{};
    bool stopped_ = false;
    dispatcher_counters counters_;
};

} // namespace anvilpost
