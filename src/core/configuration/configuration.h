// Data model of the operators' configuration: one document with one revision that defines the services,
// the upstreams and the policy of each service, and the routes. The aggregates are plain data without
// behaviour. configuration_json.h parses and prints their JSON form, a document_codec parses the formats of
// other stores, and derive_plan in intent.h computes a changed configuration.
#pragma once

#include "vocabulary/enum_names.h"
#include "vocabulary/key_digest.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace anvilpost {

/// Lifecycle state of an upstream, as set by operators. An `arriving` upstream receives a rising share of
/// calls (slow start). A `leaving` or `stopping` one receives no new calls and finishes those in flight.
enum class upstream_state { arriving, active, leaving, stopping };

template <>
struct enum_names<upstream_state> {
    static constexpr std::array<std::pair<upstream_state, std::string_view>, 4> table{{
        {upstream_state::arriving, "arriving"},
        {upstream_state::active, "active"},
        {upstream_state::leaving, "leaving"},
        {upstream_state::stopping, "stopping"},
    }};
};

/// Load-balancing algorithm that chooses the upstream of a call. See docs/design/choosing-an-upstream.md.
enum class picker_kind { least_in_flight_of_two, expected_wait, owned_slots, earliest_finish };

template <>
struct enum_names<picker_kind> {
    static constexpr std::array<std::pair<picker_kind, std::string_view>, 4> table{{
        {picker_kind::least_in_flight_of_two, "least_in_flight_of_two"},
        {picker_kind::expected_wait, "expected_wait"},
        {picker_kind::owned_slots, "owned_slots"},
        {picker_kind::earliest_finish, "earliest_finish"},
    }};
};

/// Order in which a service's waiting calls are served, and which are refused; with
/// `picker_kind::earliest_finish` only. `by_objective`: `waiting_queue`; `by_cost`: `admission_policy`.
enum class scheduling_kind { by_objective, by_cost };

template <>
struct enum_names<scheduling_kind> {
    static constexpr std::array<std::pair<scheduling_kind, std::string_view>, 2> table{{
        {scheduling_kind::by_objective, "by_objective"},
        {scheduling_kind::by_cost, "by_cost"},
    }};
};

/// One worker process of a service. The JSON form in configuration_json.h has no fields for `slots_`,
/// `warm_up_` and `entry_revision_`; a document_codec or the registry may set them.
struct upstream_config {
    std::string ip_;          ///< Numeric IPv4 or IPv6 address.
    std::uint16_t port_ = 0;  ///< Invariant after parsing: not 0.
    std::string data_centre_; ///< Name of its data centre; may be empty.
    std::string incarnation_; ///< Differs for each VM that takes over the address; may be empty.
    upstream_state state_ = upstream_state::active;
    int slots_ = 0; ///< Calls that it runs concurrently; 0 stands for the policy's `slots_`.
    std::chrono::milliseconds warm_up_{
        0};                            ///< Time for which it stays cold, as of when its entry was written.
    std::uint64_t entry_revision_ = 0; ///< Of the entry that states `warm_up_`; 0 without a time left.

    bool operator==(const upstream_config&) const = default;
};

/// Service-level objective: the share of calls that must succeed, and the share that must be answered
/// within a latency.
struct objective_config {
    double availability_ = 0.999;            ///< In (0, 1): share of calls that succeed.
    std::chrono::milliseconds latency_{250}; ///< Threshold of the latency objective.
    double latency_share_ = 0.99;            ///< In (0, 1): share of calls within `latency_`.

    bool operator==(const objective_config&) const = default;
};

/// Load-balancing policy of a service. The defaults suit a service with a few slots per worker. The JSON
/// form in configuration_json.h has no fields for `retry_budget_slack_` and `shared_retry_budget_`; a
/// document_codec may set them.
struct policy_config {
    picker_kind picker_ = picker_kind::owned_slots;
    scheduling_kind scheduling_ = scheduling_kind::by_objective;
    std::chrono::milliseconds timeout_{10'000};   ///< Timeout of a call to one of `hosts_` without a route.
    std::chrono::milliseconds queue_wait_{1'000}; ///< Longest wait in the queue for a free upstream.
    int queue_length_ = 200;                      ///< Queued calls per node; further calls are refused.
    int slots_ = 6;                               ///< Calls that one upstream runs concurrently.
    int worker_connections_ = 200; ///< Connections that one upstream accepts from all nodes together.
    double retry_share_ = 0.1;     ///< Retry budget as a share of calls, in [0, 1].
    double hedge_share_ = 0.05;    ///< Budget for hedged requests as a share of calls, in [0, 1].
    /// Fixed part that each budget has in 10 s, in attempts, however few calls there are. With
    /// `shared_retry_budget_` it is divided among the nodes of the fleet.
    double retry_budget_slack_ = 1.0;
    /// True when retries and hedged requests draw on one fleet-wide budget: `retry_share_` of the calls plus
    /// `retry_budget_slack_`.
    bool shared_retry_budget_ = false;
    double probes_per_second_ = 1.0; ///< Health-probe budget of the whole fleet.
    std::string health_path_ = "/healthz";
    /// Time for which an upstream is cold after it starts, and the requests per second that it tolerates then
    /// from all nodes together; 0: no limit.
    std::chrono::milliseconds warm_up_{0};
    double warm_up_rate_ = 0;
    /// Methods whose calls may be executed more than once, for routes with `repeat_rule::by_method`.
    std::vector<std::string> repeatable_methods_{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};

    bool operator==(const policy_config&) const = default;
};

/// A service: the hosts that it answers to, its upstreams, its objective and its policy.
struct service_config {
    std::vector<std::string> hosts_;                   ///< Host header values without port; lower case.
    std::map<std::string, upstream_config> upstreams_; ///< By upstream name.
    objective_config objective_;
    policy_config policy_;

    bool operator==(const service_config&) const = default;
};

/// Whether a call may be executed more than once: by a hedged request, or by a retry after an upstream may
/// have run it. `by_method` means that the service's `repeatable_methods_` decide. A call's own header
/// overrides the rule.
enum class repeat_rule { by_method, repeatable, unrepeatable };

template <>
struct enum_names<repeat_rule> {
    static constexpr std::array<std::pair<repeat_rule, std::string_view>, 3> table{{
        {repeat_rule::by_method, "by_method"},
        {repeat_rule::repeatable, "repeatable"},
        {repeat_rule::unrepeatable, "unrepeatable"},
    }};
};

/// A service that receives a share of a route's calls.
struct route_target {
    std::string service_;
    int weight_ = 1; ///< Share of the route's calls, relative to the other targets.

    bool operator==(const route_target&) const = default;
};

/// A route: it matches the calls of one host whose path begins with a prefix.
struct route_config {
    std::string name_;
    std::string host_;                  ///< Lower case, without port.
    std::string path_prefix_ = "/";     ///< Begins with a slash.
    std::vector<route_target> targets_; ///< Invariant after parsing: not empty, weights above 0.
    repeat_rule repeat_ = repeat_rule::by_method;
    int max_attempts_ = 3;                      ///< Attempts per call, with retries and hedged requests.
    std::chrono::milliseconds timeout_{10'000}; ///< Longest time of a call; callers may set less.
    std::chrono::milliseconds objective_{250};  ///< Latency up to which a response has its full value.
    int priority_ = 0;                          ///< 0 is the highest priority.
    bool allow_anonymous_ = false; ///< Serves callers without a key, although there are organisations.
    bool large_responses_ = false; ///< Its responses share a part of the node's link.

    bool operator==(const route_config&) const = default;
};

/// A customer whose callers show one of its keys.
struct organisation_config {
    std::vector<key_digest> keys_;
    std::optional<int> priority_; ///< Takes the place of the priority of the call's route.
    double rate_per_second_ = 0;  ///< Requests per second over all nodes together; 0: no limit.
    double burst_ = 0;            ///< Requests beyond the rate that may come at once.

    bool operator==(const organisation_config&) const = default;
};

/// Limits on callers' requests and connections. Without them, the limits of the node's settings apply.
struct caller_limits_config {
    int max_header_bytes_ = 0;
    int max_body_bytes_ = 0;
    std::chrono::milliseconds header_timeout_{0};
    std::chrono::milliseconds idle_timeout_{0};

    bool operator==(const caller_limits_config&) const = default;
};

/// Bounds that apply to the fleet of nodes as a whole.
struct fleet_config {
    /// Different upstreams that must break while they run a request before that request is quarantined as
    /// one that crashes upstreams.
    int strikes_to_quarantine_ = 2;
    int max_nodes_ = 20; ///< Maximum number of nodes that run at once; probe budgets are divided by it.
    /// By how much the requests of an organisation may exceed its quota in a window of `quota_window_`: this
    /// share of the quota, and this number of requests.
    double quota_overage_ = 0.1;
    double quota_slack_ = 20;
    std::chrono::milliseconds quota_window_{5'000};

    bool operator==(const fleet_config&) const = default;
};

/// Record of a plan that the configuration includes. It makes a confirm idempotent: a repeated confirm is
/// answered with the revision recorded here.
struct applied_plan {
    std::string id_;
    std::uint64_t revision_ = 0; ///< Revision at which the plan took effect.

    bool operator==(const applied_plan&) const = default;
};

/// The whole configuration document. Each host of a service has an implicit route for all paths that no
/// entry of `routes_` matches.
/// Invariants: `revision_` grows with each confirmed plan; no host belongs to two services;
/// `applied_` holds at most `max_applied_plans` entries, oldest first.
struct configuration {
    /// A repeated confirm is recognised only while its plan is among these.
    static constexpr std::size_t max_applied_plans = 64;

    std::uint64_t revision_ = 0;
    fleet_config fleet_;
    std::map<std::string, service_config> services_;
    std::vector<route_config> routes_;
    /// By name. Without a value, callers need no keys; an empty map lets nobody in but anonymous callers.
    std::optional<std::map<std::string, organisation_config>> organisations_;
    std::set<std::string> evacuated_;                   ///< Data centres whose upstreams get no new requests.
    std::optional<caller_limits_config> caller_limits_; ///< Not part of the JSON form.
    std::vector<applied_plan> applied_;

    bool operator==(const configuration&) const = default;
};

} // namespace anvilpost
