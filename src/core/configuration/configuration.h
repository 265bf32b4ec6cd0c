// The operators' configuration: one document with one revision. It names the services, the upstreams
// that serve them and the policy of each service. Aggregates here are filled by the parse functions in
// configuration_json.h and by intents; they hold no behaviour.
#pragma once

#include "vocabulary/enum_names.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// Life of an upstream as operators state it. `arriving` receives a rising share of calls; `leaving` and
/// `stopping` receive no new calls and finish the ones in flight.
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

/// The rule by which a service chooses an upstream for a call. See docs/design/choosing-an-upstream.md.
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

/// One worker process of a service.
struct upstream_config {
    std::string ip_;          ///< Numeric IPv4 or IPv6 address.
    std::uint16_t port_ = 0;  ///< Invariant after parsing: not 0.
    std::string data_centre_; ///< Name of the data centre; may be empty.
    std::string incarnation_; ///< Changes when another VM takes over the address; may be empty.
    upstream_state state_ = upstream_state::active;
    int slots_ = 0; ///< Calls that it works on at the same time; 0 stands for the policy's `slots_`.
    std::chrono::milliseconds warm_up_{0}; ///< Time after its arrival during which it is slow.

    bool operator==(const upstream_config&) const = default;
};

/// Service-level objective: what share of calls must succeed, and be answered within a latency.
struct objective_config {
    double availability_ = 0.999;            ///< In (0, 1).
    std::chrono::milliseconds latency_{250}; ///< Threshold of the latency objective.
    double latency_share_ = 0.99;            ///< In (0, 1): share of calls within `latency_`.

    bool operator==(const objective_config&) const = default;
};

/// Policy of a service. Defaults suit a service with a few slots per worker.
struct policy_config {
    picker_kind picker_ = picker_kind::owned_slots;
    std::chrono::milliseconds timeout_{10'000};   ///< Longest life of a call without a caller's deadline.
    std::chrono::milliseconds queue_wait_{1'000}; ///< Longest wait for a free upstream.
    int queue_length_ = 200;                      ///< Calls waiting per node; more are refused.
    int slots_ = 6;                               ///< Calls one upstream works on at the same time.
    int worker_connections_ = 200;                ///< Connections that one upstream takes from all nodes.
    double retry_share_ = 0.1;                    ///< Retries as a share of calls, in [0, 1].
    double hedge_share_ = 0.05;                   ///< Hedges as a share of calls, in [0, 1].
    double extra_attempts_ = 1.0;   ///< Retries in 10 s whatever the calls; fleet-wide where they are shared.
    bool shared_allowance_ = false; ///< Retries and hedges draw on one fleet-wide allowance.
    double probes_per_second_ = 1.0; ///< Budget for the whole fleet.
    std::string health_path_ = "/healthz";
    std::vector<std::string> repeatable_methods_{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};

    bool operator==(const policy_config&) const = default;
};

struct service_config {
    std::vector<std::string> hosts_; ///< Host header values without port; lower case.
    std::map<std::string, upstream_config> upstreams_;
    objective_config objective_;
    policy_config policy_;

    bool operator==(const service_config&) const = default;
};

/// Whether a call may be sent to more than one upstream.
enum class repeat_rule { by_method, repeatable, unrepeatable };

template <>
struct enum_names<repeat_rule> {
    static constexpr std::array<std::pair<repeat_rule, std::string_view>, 3> table{{
        {repeat_rule::by_method, "by_method"},
        {repeat_rule::repeatable, "repeatable"},
        {repeat_rule::unrepeatable, "unrepeatable"},
    }};
};

/// One of the services that share a route's calls.
struct route_target {
    std::string service_;
    int weight_ = 1; ///< Share of the route's calls, relative to the other targets.

    bool operator==(const route_target&) const = default;
};

/// Calls of one host whose path begins with a prefix.
struct route_config {
    std::string name_;
    std::string host_;                  ///< Lower case, without port.
    std::string path_prefix_ = "/";     ///< Begins with a slash.
    std::vector<route_target> targets_; ///< Invariant after parsing: not empty, weights above 0.
    repeat_rule repeat_ = repeat_rule::by_method;
    int max_attempts_ = 3;                      ///< Upstreams that one call may be sent to.
    std::chrono::milliseconds timeout_{10'000}; ///< Longest life of a call.
    std::chrono::milliseconds objective_{250};  ///< An answer by then is worth most.
    int priority_ = 0;                          ///< 0 is the most urgent.

    bool operator==(const route_config&) const = default;
};

/// Limits on what callers send; those of the settings hold where the configuration has none.
struct caller_limits_config {
    int max_header_bytes_ = 0;
    int max_body_bytes_ = 0;
    std::chrono::milliseconds header_timeout_{0};
    std::chrono::milliseconds idle_timeout_{0};

    bool operator==(const caller_limits_config&) const = default;
};

/// Bounds that concern the fleet of nodes as a whole.
struct fleet_config {
    /// Upstreams that a request must break before it is taken for one that crashes them.
    int strikes_to_quarantine_ = 2;
    int max_nodes_ = 20; ///< Most nodes that run at the same time; probe budgets are shared among so many.

    bool operator==(const fleet_config&) const = default;
};

/// A plan that is part of the configuration; lets a repeated confirm be recognised.
struct applied_plan {
    std::string id_;
    std::uint64_t revision_ = 0;

    bool operator==(const applied_plan&) const = default;
};

/// A host of a service is a route of its own for every path, unless `routes_` has one with prefix "/".
/// Invariants: `revision_` grows with each confirmed plan; no host belongs to two services;
/// `applied_` holds at most `applied_plans_kept` entries, oldest first.
struct configuration {
    static constexpr std::size_t applied_plans_kept = 64;

    std::uint64_t revision_ = 0;
    fleet_config fleet_;
    std::map<std::string, service_config> services_;
    std::vector<route_config> routes_;
    std::optional<caller_limits_config> caller_limits_;
    std::vector<applied_plan> applied_;

    bool operator==(const configuration&) const = default;
};

} // namespace anvilpost
