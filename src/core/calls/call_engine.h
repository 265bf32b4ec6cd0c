// The call engine decides, for each request ("call") that this node accepted, which upstream it is sent to
// and when, whether it waits, is retried or hedged, and whether it is rejected and with which verdict. It
// does no I/O and reads no system clock: effects go out through the ports, and events come in through the
// member functions, so that tests can drive it in virtual time.
#pragma once

#include "core/calls/crash_suspects.h"
#include "core/calls/service_state.h"
#include "core/configuration/configuration.h"
#include "core/organisations/organisation_directory.h"
#include "core/upstreams/upstream_reachability.h"
#include "ports/call_observer.h"
#include "ports/caller_port.h"
#include "ports/claim_port.h"
#include "ports/clock_port.h"
#include "ports/dispatch_port.h"
#include "ports/quota_port.h"
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

/// Interfaces through which the engine acts and reads the time. All must outlive the engine.
struct engine_ports {
    const clock_port& clock_;
    random_port& random_;
    upstream_port& upstreams_;
    caller_port& callers_;
    claim_port& claims_;
    call_observer& observer_;
    const organisation_directory* organisations_ = nullptr; ///< Without it, no call needs a key.
};

/// Another node of the fleet, which can serve a call in place of this one.
struct serving_peer {
    std::string name_;
    std::string ip_;
    std::uint16_t port_ = 0; ///< For callers.
};

/// Result of offering a granted slot to the engine.
enum class grant_use {
    used,       ///< An attempt has started; `dispatch_port::release` follows when it ends.
    forbidden,  ///< This node may not send the call there now; the call still needs a slot.
    not_wanted, ///< The call needs no slot any more.
};

/// Schedules calls and their attempts at upstreams for all services of one node. Not thread-safe. A port may
/// call back into the engine from inside a port function only where the port's header allows it.
///
/// Invariants:
/// - an unrepeatable call gets another attempt only while its verdict is `not_run`: no byte of any earlier
///   attempt was written, or its upstream stated that it did not run the request;
/// - a call's verdict never moves towards `not_run`;
/// - a call is answered exactly once, unless its caller went away first;
/// - no attempt starts at an upstream that is leaving.
class call_engine {
public:
    explicit call_engine(const engine_ports& ports);

    /// Applies a configuration. Calls in flight continue, also those of services and upstreams that it
    /// removes.
    void apply(const configuration& config);

    /// Starts a call. `request.service_` must name a service, else the call is rejected.
    void on_call(const call& request);

    /// Delivers the result of `claim_port::claim`.
    void on_claim_decided(call_id call, claim_decision decision);

    /// Sets the port that admits the calls of organisations with a limit. Without it, there are no limits.
    void set_quotas(quota_port* quotas) { quotas_ = quotas; }

    /// Delivers the result of `quota_port::admit`.
    void on_quota_decided(call_id call, const quota_decision& decision);
    /// Sets the port through which slots are asked for; nullptr: this node chooses upstreams alone. It must
    /// outlive the engine or be reset.
    void set_dispatch(dispatch_port* dispatch) { dispatch_ = dispatch; }

    /// The dispatcher granted a slot that the call asked for. Starts the attempt if the call still needs it
    /// and the rules of this node allow it.
    grant_use on_slot_granted(call_id call, slot_id slot, const std::string& upstream);

    /// The dispatcher expects no slot in time; a slot may become free after `expected_wait`.
    void on_slot_refused(call_id call, duration expected_wait);

    /// No dispatcher answers: this node chooses alone for the call.
    void on_no_dispatcher(call_id call);

    /// The head of the upstream's response to an attempt has arrived. Events of attempts that have already
    /// ended are ignored.
    void on_response_started(attempt_id attempt, const response_head& head);

    /// An attempt has ended, completely or by a failure.
    void on_attempt_ended(attempt_id attempt, attempt_outcome outcome);

    /// The caller closed its connection; its attempts at upstreams are cancelled.
    void on_caller_gone(call_id call);

    /// An upstream is known to be leaving: it receives no new calls and finishes those in flight.
    void on_upstream_leaving(const std::string& service, const std::string& upstream, leaving_source source);

    /// Health of an upstream as found by a probe of this or another node. Ejects an upstream after failures,
    /// or ends its ejection.
    void on_probe_result(const std::string& service, const std::string& upstream, bool healthy);

    /// Sets how many nodes share the upstreams, and the data centre of this node.
    void set_fleet_position(const fleet_position& position);

    /// A load report of an upstream as of `measured_at`, from a probe of this node or forwarded by another
    /// node. Takes effect on waiting and running calls at the next `apply_loads`, which must follow
    /// each batch of reports.
    void on_load(const std::string& service, const std::string& upstream, const load_report& report,
                 time_point measured_at);

    /// A probe by this node or another ended at `measured_at`, with or without a response; `healthy` is the
    /// state that the response reported. Updates whether the upstream counts as reachable and healthy; unlike
    /// `on_probe_result`, it neither causes nor ends an ejection.
    void on_probe(const std::string& service, const std::string& upstream, bool answered, bool healthy,
                  time_point measured_at);

    /// The node `peer` reported how many calls it has in flight at an upstream.
    void on_peer_load(const std::string& service, const std::string& upstream, std::uint64_t peer,
                      int in_flight);

    /// Adds calls that an upstream served and failed for another node.
    void on_peer_outcomes(const std::string& service, const std::string& upstream, int served, int failed);

    /// Applies what an upstream says of itself in its response to a probe of this node, except its load,
    /// which `on_load` applies. That it names no rate limit ends none.
    void on_probe_report(const std::string& service, const std::string& upstream, const self_report& report);

    /// Another node learnt of a new rate limit of an upstream, or of its end.
    void on_peer_rate_limit(const std::string& service, const std::string& upstream,
                            const rate_limit_notice& notice);

    /// Another node learnt from an upstream that it stays cold for `left`.
    void on_peer_warm_up(const std::string& service, const std::string& upstream, duration left);

    /// Acts on new load reports: hedges calls that run at upstreams which have slowed down, and starts
    /// waiting calls.
    void apply_loads();

    /// Sets how many slots of each upstream this node owns; upstreams missing in `owned` get none.
    void set_owned_slots(const std::string& service, const std::map<std::string, int>& owned);

    /// Limits waiting while the node drains: a waiting call is rejected once it can no longer be expected to
    /// finish by `end`.
    void set_waiting_deadline(time_point end);

    /// Another node saw an upstream's connection break while the upstream ran the request with this
    /// fingerprint.
    void on_peer_strike(std::uint64_t fingerprint, const std::string& upstream);

    /// Returns when `on_wakeup` must be called next, if at all.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Handles all timers that are due: deadlines, hedges, and calls that have waited too long.
    void on_wakeup();

    /// Returns nullptr for an unknown upstream.
    [[nodiscard]] upstream_tracker* find_upstream(const std::string& service, const std::string& upstream);

    [[nodiscard]] std::size_t calls_in_flight() const { return calls_.size(); }
    [[nodiscard]] const std::map<std::string, service_state>& services() const { return services_; }
    [[nodiscard]] const crash_suspects& suspects() const { return suspects_; }

    /// Whether this node reaches upstreams. The results of its own probes must be added to it.
    [[nodiscard]] upstream_reachability& reachability() { return reachability_; }
    [[nodiscard]] const upstream_reachability& reachability() const { return reachability_; }

    /// Number of notices of rate limits that were new to this node; without one, nothing is to be divided.
    [[nodiscard]] std::uint64_t rate_limit_notices() const { return rate_limit_notices_; }

    /// Number of times that upstreams may have become cold; without a new one, no rate is to be divided.
    [[nodiscard]] std::uint64_t warm_up_notices() const { return warm_up_notices_; }

    /// Called when an upstream's response states that it stays cold; `is_news` when this node did not know.
    std::function<void(const std::string& service, const std::string& upstream, duration left, bool is_news)>
        on_warm_up_;

    /// Called when a request breaks an upstream that it has not broken before, so that other nodes can be
    /// notified.
    std::function<void(std::uint64_t fingerprint, const std::string& upstream)> on_strike_;

    /// Called when an upstream's response states that the upstream is leaving. That a different instance
    /// answered at its address concerns this node's view only.
    std::function<void(const std::string& service, const std::string& upstream)> on_leaving_;

    /// Called when the number of this node's calls in flight at an upstream has changed.
    std::function<void(const std::string& service, const std::string& upstream)> on_in_flight_changed_;

    /// Returns a node that reaches upstreams of `service`, but none of `tried`, or nothing when no such node
    /// is known. Without this function, calls are not forwarded.
    std::function<std::optional<serving_peer>(const std::string& service, const std::set<std::string>& tried)>
        choose_peer_;

    /// Called when no connection to a node could be made to forward a call.
    std::function<void(const std::string& peer)> on_peer_unreached_;

    /// Called when `next_wakeup` may have become earlier, so that the timer can be set again.
    std::function<void()> on_earlier_wakeup_;

private:
    /// `admitting`: waits for a token of its organisation's quota; `claiming`: waits for the claim on its
    /// idempotency key; `waiting`: queued for a free slot; `running`:
    /// has attempts without a usable response; `relaying`: the response is being passed to the caller.
    enum class phase { admitting, claiming, waiting, running, relaying };

    /// Progress of a relayed response at a time after the call's deadline.
    struct progress_sample {
        time_point at_{};
        time_point next_{}; ///< When the next sample is due.
        relay_progress progress_{};
    };

    struct call_state {
        call call_;
        phase phase_ = phase::waiting;
        bool claimed_ = false;
        verdict verdict_ = verdict::not_run;
        int attempts_made_ = 0;
        std::vector<attempt_id> active_;     ///< Attempts that have not ended.
        std::set<std::string> tried_;        ///< Upstreams of all attempts of this call.
        std::set<std::string> peers_tried_;  ///< Nodes that the call was forwarded to.
        int unsent_attempts_ = 0;            ///< Attempts that got no connection to an upstream.
        std::optional<time_point> hedge_at_; ///< When a second attempt may be started.
        std::optional<call_record> relayed_; ///< Set once the head of a response was passed to the caller.
        std::optional<progress_sample> progress_; ///< The latest one.
        time_point wake_at_{};                    ///< Key of this call in `wakeups_`.
        std::optional<time_point> admitted_at_;   ///< When it got a token; empty: it has none or needs none.
        bool awaits_slot_ = false;                ///< A slot request is open.
        bool chooses_alone_ = false;              ///< No dispatcher answered its slot request.
        connection_need slot_need_ = connection_need::any; ///< For the attempt that awaits a slot.
        std::optional<duration>
            expected_wait_; ///< Stated by the dispatcher or the `admission_policy` that refused it.
    };

    struct attempt_state {
        call_id call_{};
        std::string service_;
        std::string upstream_;
        time_point started_{};
        bool answered_ = false;
        duration
            cumulative_work_at_start_{}; ///< `upstream_tracker::cumulative_work` when the attempt started.
        int running_at_start_ = 1; ///< Calls at the upstream when the attempt started, this one included.
        std::string peer_{};       ///< Node that the call was forwarded to; `upstream_` is empty then.
        int attempts_before_ = 0;  ///< The call's attempts before it was forwarded.
        std::optional<slot_id> slot_{};                       ///< Granted by a dispatcher.
        slot_end end_{slot_outcome::cancelled, std::nullopt}; ///< As far as it is known.
    };

    /// False when the key of the call was withdrawn after the call arrived: no further attempt may start.
    [[nodiscard]] bool authorised(const call_state& state) const;

    /// Rejects the waiting calls whose keys the configuration no longer holds.
    void reject_unauthorised_calls();

    /// True when the call's organisation has a limit and the call has no token yet. It may then be forwarded
    /// to another node, which counts it, but not be sent to an upstream.
    [[nodiscard]] bool needs_token(const call_state& state) const;
    void ask_for_token(call_state& state);

    /// Gives back the call's token, or withdraws the request for one.
    void return_token(call_state& state);

    /// Claims the call's idempotency key where it has one, and starts the call.
    void claim_or_start(call_state& state);

    /// Starts the call's first attempt, or queues the call, or rejects it.
    void start_or_wait(call_state& state);

    /// Starts an attempt at the upstream that the service chooses now. Returns false, changing nothing, when
    /// no upstream has room, or the call should wait instead or leave the slot to others.
    bool try_start(call_state& state, connection_need need);

    /// Asks the dispatcher of the call's service for a slot, where there is one. Returns false when this node
    /// must choose alone.
    bool ask_dispatcher(call_state& state, service_state& service, connection_need need);
    bool chooses_limited_upstream(const call_state& state, service_state& service);
    void withdraw_slot_request(call_state& state);

    /// Forwards the call to another node. Returns false, changing nothing, when that is not possible.
    bool start_at_peer(call_state& state);

    /// A peer stated that it did not run the call: forwards it to another one or rejects it.
    void on_refused_by_peer(call_state& state, attempt_id attempt);

    /// Decides about the calls that wait, and about `arriving` if it isn't nullptr: rejects the displaced
    /// ones among those that wait already, sets the expected wait of `arriving` if it must not wait, and
    /// returns the order of service.
    std::vector<call_id> schedule_waiting_calls(service_state& service, call_state* arriving);
    [[nodiscard]] std::vector<call_id> order_of_service(service_state& service);

    /// True when the queue has room for the call and its expected wait is short enough.
    [[nodiscard]] bool may_wait(call_state& state, service_state& service);

    /// Returns by when a waiting call must be answered: its deadline, or the time given to
    /// `set_waiting_deadline` if that is earlier.
    [[nodiscard]] time_point effective_deadline(const call_state& state) const;
    [[nodiscard]] waiting_call as_waiting(const call_state& state, const service_state& service) const;

    /// Sets when the call is hedged if its attempt has not been answered by then.
    void plan_hedge(call_state& state, const service_state& service, const upstream_tracker& upstream);
    bool should_hedge_slowed_call(const call_state& state, service_state& service);
    bool retry_elsewhere(call_state& state, service_state& service, attempt_id failed);
    void drop_attempt(attempt_id attempt);
    std::chrono::milliseconds retry_after(const service_state* service,
                                          std::optional<duration> expected_wait);
    void relay_response(call_state& state, attempt_id attempt, const response_head& head);

    /// Cuts off a relayed response that is incomplete after the call's deadline and has stopped arriving.
    void check_progress(call_state& state);

    /// Ends a call whose response was relayed, completely or in part.
    void finish_relayed(const call_state& state, attempt_outcome outcome);
    void record_outcome(const attempt_state& answered, const call_state& state, const response_head& head);
    void apply_self_report(const service_state& service, upstream_tracker& upstream,
                           const self_report& report, bool served, time_point sent_at);
    void report_decision(decision_kind kind, const call_state& state, const upstream_tracker* upstream,
                         std::string reason);
    void start_attempt(call_state& state, service_state& service, upstream_tracker& upstream,
                       connection_need need, const send_permit& permit,
                       std::optional<slot_id> slot = std::nullopt);

    /// Handles the failure of a call's attempt: does nothing while another attempt of the call runs, else
    /// starts or queues a retry, or rejects the call with the given problem.
    void retry_or_reject(call_state& state, problem_kind kind, std::string detail);
    void wait_for_upstream(call_state& state, service_state& service);
    void hedge(call_state& state);
    bool start_or_wait_again(call_state& state);

    /// Rejects a call whose deadline has passed or that can wait no longer.
    void on_deadline(call_state& state);
    void start_waiting_calls(service_state& service);
    void reject(call_state& state, problem_kind kind, std::string detail,
                std::optional<std::chrono::milliseconds> retry_after_given = std::nullopt);
    void finish(call_state& state, const call_record& record);
    void cancel_attempts(call_state& state, std::optional<attempt_id> except);
    void end_attempt(attempt_id attempt);
    void schedule_wakeup(call_state& state);
    void record_strike(const attempt_state& attempt, const call_state& state);
    [[nodiscard]] call_record record_of(const call_state& state) const;
    call_state* find_call(call_id call);
    service_state* find_service(const std::string& name);
    [[nodiscard]] time_point now() const { return ports_.clock_.now(); }

    engine_ports ports_;
    quota_port* quotas_ = nullptr;
    dispatch_port* dispatch_ = nullptr;
    std::map<std::string, service_state> services_;
    std::unordered_map<call_id, call_state> calls_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    std::set<std::pair<time_point, call_id>> wakeups_; ///< One timer per call.
    crash_suspects suspects_;
    upstream_reachability reachability_;
    std::uint64_t rate_limit_notices_ = 0;
    std::uint64_t warm_up_notices_ = 0;
    bool configured_ = false;                  ///< A configuration is in force.
    std::uint64_t configuration_revision_ = 0; ///< Its revision.
    std::uint64_t next_attempt_ = 1;
    fleet_position position_;
    std::optional<time_point> waiting_deadline_; ///< Set by `set_waiting_deadline`.
};

} // namespace anvilpost
