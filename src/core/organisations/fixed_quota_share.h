// Quotas on a node that has no exchange of datagrams with the others: it enforces a fixed share of each
// organisation's rate, as it does with probe budgets.
#pragma once

#include "core/configuration/configuration.h"
#include "core/organisations/organisation_usage.h"
#include "ports/clock_port.h"
#include "ports/quota_port.h"

#include <functional>
#include <string>
#include <unordered_map>

namespace anvilpost {

/// Invariant: the nodes of a fleet of at most `fleet_config::max_nodes_` admit together at most an
/// organisation's quota with its slack. Where calls are spread unevenly over the nodes, or fewer nodes run,
/// they admit less.
class fixed_quota_share : public quota_port {
public:
    explicit fixed_quota_share(const clock_port& clock) : clock_(clock) {}

    void apply(const configuration& config);

    void admit(call_id call, const std::string& organisation, time_point answer_by) override;
    void withdraw(call_id, const std::string&) override {}
    void refund(const std::string& organisation, time_point admitted_at) override;

    /// Delivers a decision.
    std::function<void(call_id, const quota_decision&)> decide_;

    [[nodiscard]] organisation_usages usages() const;

private:
    struct bucket {
        double rate_ = 0;
        double capacity_ = 0;
        double tokens_ = 0;
        time_point filled_at_{};
        organisation_usage usage_;
    };

    const clock_port& clock_;
    std::unordered_map<std::string, bucket> buckets_;
};

} // namespace anvilpost
