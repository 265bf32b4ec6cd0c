// Status and metrics of organisations' quotas, for both kinds of node. They never name a key.
#pragma once

#include "core/fleet/quota_exchange.h"
#include "core/organisations/organisation_usage.h"

#include <nlohmann/json.hpp>
#include <string>

namespace anvilpost {

/// Returns an object with the rate, the burst and the use of each organisation.
nlohmann::json describe_usages(const organisation_usages& usages);

/// Returns the part of a node's status about quotas.
nlohmann::json describe_quotas(const quota_exchange& quotas);

/// Appends the calls of each organisation in the Prometheus text format.
void add_usage_metrics(std::string& text, const organisation_usages& usages);

/// Appends all metrics about quotas.
void add_quota_metrics(std::string& text, const quota_exchange& quotas);

/// Logs that this node delegates its share to another coordinator.
void log_coordinator_change(const std::string& coordinator, const quota_exchange& quotas);

} // namespace anvilpost
