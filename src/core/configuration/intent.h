// Intents and plans. An intent lists changes that an operator wants; a plan is the reviewed difference
// between a base configuration and the configuration that the intent would give. Deriving a plan is a
// pure function of the intent and the base, so that any node can derive the same plan again.
#pragma once

#include "core/configuration/configuration.h"
#include "core/configuration/field_fault.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost {

enum class change_kind {
    put_service,
    remove_service,
    put_upstream,
    set_upstream_state,
    remove_upstream,
    put_fleet,
    put_routes
};

template <>
struct enum_names<change_kind> {
    static constexpr std::array<std::pair<change_kind, std::string_view>, 7> table{{
        {change_kind::put_service, "put_service"},
        {change_kind::remove_service, "remove_service"},
        {change_kind::put_upstream, "put_upstream"},
        {change_kind::set_upstream_state, "set_upstream_state"},
        {change_kind::remove_upstream, "remove_upstream"},
        {change_kind::put_fleet, "put_fleet"},
        {change_kind::put_routes, "put_routes"},
    }};
};

/// One wanted change. Fields that the kind does not use stay empty.
struct change {
    change_kind kind_ = change_kind::put_service;
    std::string service_;
    std::string upstream_;
    service_config service_value_;
    upstream_config upstream_value_;
    fleet_config fleet_value_;
    std::vector<route_config> routes_value_; ///< All routes; replaces those in force.
    upstream_state state_ = upstream_state::active;
};

/// Invariant after parsing: `changes_` is not empty and `document_` is the canonical JSON it came from.
struct intent {
    std::vector<change> changes_;
    nlohmann::json document_;
};

/// A reviewed difference. `id_` depends only on the base revision and the intent.
struct plan {
    std::string id_;
    std::uint64_t base_revision_ = 0;
    std::vector<std::string> differences_; ///< Readable lines, each starting with '+', '-' or '~'.
    std::vector<std::string> warnings_;
    nlohmann::json intent_document_;
    configuration result_; ///< Revision is the base's plus one; lists this plan as applied.
};

/// Parses `{"changes": [...]}`. Throws `invalid_document` listing every fault with its JSON pointer.
intent parse_intent(const nlohmann::json& document);

/// Derives the plan that `wanted` gives on `base`. Throws `invalid_document` when a change does not fit
/// the base, for example an unknown service.
plan derive_plan(const intent& wanted, const configuration& base);

/// Returns the revision at which the plan took effect, or nothing when `config` does not list it.
std::optional<std::uint64_t> applied_revision(const configuration& config, const std::string& plan_id);

/// JSON form that operators see; carries all that a confirm on another node needs.
nlohmann::json to_json(const plan& reviewed);

} // namespace anvilpost
