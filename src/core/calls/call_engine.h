// The decision core of the call path: which upstream a call goes to and when, what is retried or
// hedged, what is refused, and with which verdict. It makes no system call and reads no clock; every
// effect goes through a port and every event comes in through a member function.
#pragma once

#include "core/calls/crash_suspects.h"
#include "core/calls/service_state.h"
#include "core/configuration/configuration.h"
#include "ports/call_observer.h"
#include "ports/caller_port.h"
#include "ports/claim_port.h"
#include "ports/clock_port.h"
#include "ports/random_port.h"
#include "ports/upstream_port.h"
#include "vocabulary/call.h"
#include "vocabulary/problem.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace anvilpost {

/// The ports an engine works through. All must outlive the engine.
struct engine_ports {
    const clock_port& clock_;
    random_port& random_;
    upstream_port& upstreams_;
    caller_port& callers_;
    claim_port& claims_;
    call_observer& observer_;
};

/// Invariants:
/// - an unrepeatable call has at most one attempt of which a byte was written;
/// - a call's verdict never moves towards `not_run`;
/// - a call is answered exactly once, unless its caller went away first;
/// - no attempt starts at an upstream that is leaving.
class call_engine {
public:
    explicit call_engine(const engine_ports& ports);

    /// Takes a configuration into force. Calls in flight go on.
    void apply(const configuration& config);

    /// Starts a call. `request.service_` must name a service, else the call is rejected.
    void on_call(const call& request);

    /// Answers `claim_port::claim`.
    void on_claim_decided(call_id call, claim_decision decision);

    /// The head of an attempt's answer has arrived.
    void on_answer_started(attempt_id attempt, const answer_head& head);

    /// An attempt is over.
    void on_attempt_ended(attempt_id attempt, attempt_outcome outcome);

    /// The caller closed its connection; the work at upstreams is cancelled.
    void on_caller_gone(call_id call);

    /// An upstream is known to be leaving.
    void on_upstream_leaving(const std::string& service, const std::string& upstream, leaving_source source);

    /// A probe, by this node or another, found an upstream working or not.
    void on_probe_finding(const std::string& service, const std::string& upstream, bool healthy);

    /// Sets what this node is within the fleet: how many share the upstreams, and its data centre.
    void set_position(const fleet_position& position);

    /// A load report of an upstream, found by a probe of this or another node. `apply_loads` must follow
    /// once a batch of reports has been handed over.
    void on_load(const std::string& service, const std::string& upstream, const load_report& report,
                 time_point taken);
    void on_probe(const std::string& service, const std::string& upstream, bool answered, bool healthy,
                  time_point taken);
    void on_peer_load(const std::string& service, const std::string& upstream, std::uint64_t peer,
                      int in_flight);
    void on_peer_outcomes(const std::string& service, const std::string& upstream, int served, int failed);

    /// Acts on new loads: starts waiting calls, and copies calls that run at upstreams turned slow.
    void apply_loads();

    /// Sets which slots this node owns; upstreams that are not in the map have none.
    void set_owned_slots(const std::string& service, const std::map<std::string, int>& owned);

    /// The node stops: calls that still wait are refused when they could not be finished by `end`.
    void stop_waiting_by(time_point end);

    /// Another node saw a request break an upstream.
    void on_peer_strike(std::uint64_t fingerprint, const std::string& upstream);

    /// Returns the next instant at which `on_wakeup` must be called, if any.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Acts on everything that is due.
    void on_wakeup();

    [[nodiscard]] std::size_t calls_in_flight() const { return calls_.size(); }
    [[nodiscard]] const std::map<std::string, service_state>& services() const { return services_; }
    [[nodiscard]] const crash_suspects& suspects() const { return suspects_; }

    /// Called with each new strike, so that other nodes can be told.
    std::function<void(std::uint64_t fingerprint, const std::string& upstream)> on_strike_;

    /// Called when an upstream's own answer says that it is leaving.
    std::function<void(const std::string& service, const std::string& upstream)> on_leaving_;

    /// Called when this node's calls in flight at an upstream have changed.
    std::function<void(const std::string& service, const std::string& upstream)> on_in_flight_changed_;

    /// Called when `next_wakeup` moved to an earlier instant.
    std::function<void()> on_earlier_wakeup_;

private:
    enum class phase { claiming, waiting, running, relaying };

    struct call_state {
        call call_;
        phase phase_ = phase::waiting;
        bool claimed_ = false;
        verdict verdict_ = verdict::not_run;
        int attempts_made_ = 0;
        std::vector<attempt_id> active_; ///< Attempts without an end yet.
        std::set<std::string> tried_;    ///< Upstreams of this call's attempts.
        std::optional<time_point> hedge_at_;
        std::optional<call_record> relayed_; ///< Set when an answer's head was passed on.
        time_point wake_at_{};               ///< Position in `wakeups_`.
    };

    struct attempt_state {
        call_id call_{};
        std::string service_;
        std::string upstream_;
        time_point started_{};
        bool answered_ = false;
        duration work_clock_{}; ///< Of the upstream at the start.
        int running_ = 1;       ///< Calls there at the start, this one included.
    };

    void enqueue(call_state& state);
    bool try_start(call_state& state, connection_need need);
    [[nodiscard]] bool may_wait(const call_state& state, const service_state& service) const;
    /// When a call that waits must have been answered: its deadline, or earlier where the node stops.
    [[nodiscard]] time_point last_end(const call_state& state) const;
    [[nodiscard]] waiting_call as_waiting(const call_state& state, const service_state& service) const;
    void plan_hedge(call_state& state, const service_state& service, const upstream_tracker& upstream);
    bool worth_a_copy(const call_state& state, service_state& service);
    bool retry_elsewhere(call_state& state, service_state& service, attempt_id failed);
    void drop_attempt(attempt_id attempt);
    std::chrono::milliseconds retry_after(const service_state* service);
    upstream_tracker* find_upstream(const std::string& service, const std::string& upstream);
    void pass_on_answer(call_state& state, attempt_id attempt, const answer_head& head);
    void note_outcome(const attempt_state& tried, const call_state& state, const answer_head& head);
    void tell(decision_kind kind, const call_state& state, const upstream_tracker* upstream,
              std::string reason);
    void start_attempt(call_state& state, service_state& service, upstream_tracker& upstream,
                       connection_need need);
    void retry_or_reject(call_state& state, problem_kind kind, std::string detail);
    void wait_for_upstream(call_state& state, service_state& service);
    void hedge(call_state& state);
    bool wait_again(call_state& state);
    void on_deadline(call_state& state);
    void serve_waiting(service_state& service);
    void reject(call_state& state, problem_kind kind, std::string detail);
    void finish(call_state& state, const call_record& record);
    void cancel_attempts(call_state& state, std::optional<attempt_id> except);
    void end_attempt(attempt_id attempt);
    void schedule(call_state& state);
    void record_strike(const attempt_state& attempt, const call_state& state);
    [[nodiscard]] call_record record_of(const call_state& state) const;
    call_state* find_call(call_id call);
    service_state* find_service(const std::string& name);
    [[nodiscard]] time_point now() const { return ports_.clock_.now(); }

    engine_ports ports_;
    std::map<std::string, service_state> services_;
    std::unordered_map<call_id, call_state> calls_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::set<std::pair<time_point, call_id>> wakeups_;
    crash_suspects suspects_;
    std::uint64_t next_attempt_ = 1;
    fleet_position position_;
    std::optional<time_point> waiting_ends_; ///< Set once the node stops.
};

} // namespace anvilpost
