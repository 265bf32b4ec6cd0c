// Intents and plans, by which operators change the configuration. An intent lists the requested changes; a
// plan shows how the configuration that they give differs from a base configuration. The operator reviews
// the plan and confirms it. Deriving a plan is a pure function of the intent and the base, so that any node
// can derive the same plan again when it handles the confirm.
#pragma once

#include "core/configuration/configuration.h"
#include "core/configuration/field_fault.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

/// Kinds of change. `put_service` and `put_upstream` create or replace one entry; `put_fleet` and
/// `put_routes` replace the whole section; `set_evacuated` replaces the list of evacuated data centres.
enum class change_kind {
    put_service,
    remove_service,
    put_upstream,
    set_upstream_state,
    remove_upstream,
    put_fleet,
    put_routes,
    put_organisation,
    remove_organisation,
    set_evacuated
};

template <>
struct enum_names<change_kind> {
    static constexpr std::array<std::pair<change_kind, std::string_view>, 10> table{{
        {change_kind::put_service, "put_service"},
        {change_kind::remove_service, "remove_service"},
        {change_kind::put_upstream, "put_upstream"},
        {change_kind::set_upstream_state, "set_upstream_state"},
        {change_kind::remove_upstream, "remove_upstream"},
        {change_kind::put_fleet, "put_fleet"},
        {change_kind::put_routes, "put_routes"},
        {change_kind::put_organisation, "put_organisation"},
        {change_kind::remove_organisation, "remove_organisation"},
        {change_kind::set_evacuated, "set_evacuated"},
    }};
};

/// One requested change. Members that its kind does not use keep their defaults.
struct change {
    change_kind kind_ = change_kind::put_service;
    std::string service_;
    std::string upstream_;
    service_config service_value_;
    upstream_config upstream_value_;
    fleet_config fleet_value_;
    std::vector<route_config> routes_value_; ///< All routes; they replace those of the base.
    std::string organisation_;
    organisation_config organisation_value_;
    std::vector<std::string> data_centres_;         ///< For `set_evacuated`.
    upstream_state state_ = upstream_state::active; ///< For `set_upstream_state`.
};

/// A list of requested changes, applied in order. Invariant after parsing: `changes_` is not empty and
/// `document_` is the JSON that it was parsed from, in canonical form (fields sorted, API keys as digests).
struct intent {
    std::vector<change> changes_;
    nlohmann::json document_;
};

/// The difference that an intent makes to a base configuration, for an operator to review and confirm.
struct plan {
    std::string id_; ///< Hash of the base revision and the intent; depends on nothing else.
    std::uint64_t base_revision_ = 0;
    /// Readable lines that begin with '+' (added), '-' (removed) or '~' (changed).
    std::vector<std::string> differences_;
    std::vector<std::string> warnings_;
    nlohmann::json intent_document_;
    configuration result_; ///< The base with the changes, its revision plus one and this plan in `applied_`.
};

/// Parses `{"changes": [...]}`. Throws `invalid_document` listing every fault with its JSON pointer.
intent parse_intent(const nlohmann::json& document);

/// Derives the plan for applying `requested` to `base`. Throws `invalid_document` when a change does not fit
/// the base, for example because its service is unknown, or when the result is not a valid configuration.
plan derive_plan(const intent& requested, const configuration& base);

/// Returns the revision at which the plan took effect, or nothing when `config` does not list it.
std::optional<std::uint64_t> applied_revision(const configuration& config, const std::string& plan_id);

/// JSON form that operators see; it includes all that another node needs to confirm the plan.
nlohmann::json to_json(const plan& derived);

} // namespace anvilpost
