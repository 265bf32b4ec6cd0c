// Token buckets of this node's fixed share of each quota.
#include "core/organisations/fixed_quota_share.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A token of a call that was not run is returned within this time.
constexpr duration refund_time = 250ms;

/// Part of the slack that is divided among the buckets, so that small shares are not refused by chance alone.
constexpr double slack_share = 0.9;

} // namespace

void fixed_quota_share::apply(const configuration& config)
{
    std::unordered_map<std::string, bucket> kept;
    const int nodes = std::max(1, config.fleet_.max_nodes_);
    if (config.organisations_) {
        for (const auto& [name, organisation] : *config.organisations_) {
            if (organisation.rate_per_second_ <= 0) {
                continue;
            }
            const auto known = buckets_.find(name);
            auto& entry = kept[name];
            entry = known == buckets_.end() ? bucket{0, 0, 0, clock_.now(), {}} : known->second;
            entry.rate_ = organisation.rate_per_second_ / nodes;
            entry.capacity_ = (organisation.burst_ + slack_share * config.fleet_.quota_slack_) / nodes;
            if (nodes <= config.fleet_.quota_slack_) {
                entry.capacity_ = std::max(1.0, entry.capacity_); // One request each is within the slack.
            }
            entry.usage_.rate_per_second_ = organisation.rate_per_second_;
            entry.usage_.burst_ = organisation.burst_;
            entry.tokens_ = std::min(entry.tokens_, entry.capacity_);
        }
    }
    buckets_ = std::move(kept);
}

void fixed_quota_share::admit(call_id call, const std::string& organisation, time_point)
{
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end()) {
        decide_(call, {true, {}});
        return;
    }
    auto& share = found->second;
    const auto now = clock_.now();
    const double passed = std::chrono::duration<double>(now - share.filled_at_).count();
    share.tokens_ = std::min(share.capacity_, share.tokens_ + share.rate_ * passed);
    share.filled_at_ = now;
    if (share.tokens_ >= 1) {
        share.tokens_ -= 1;
        ++share.usage_.admitted_;
        decide_(call, {true, {}});
        return;
    }
    ++share.usage_.refused_;
    const auto wait = std::chrono::duration<double>((1 - share.tokens_) / share.rate_);
    constexpr std::chrono::duration<double> longest_wait = 60s;
    decide_(call, {false, std::chrono::ceil<std::chrono::milliseconds>(std::min(wait, longest_wait))});
}

organisation_usages fixed_quota_share::usages() const
{
    organisation_usages all;
    for (const auto& [name, share] : buckets_) {
        all[name] = share.usage_;
    }
    return all;
}

void fixed_quota_share::refund(const std::string& organisation, time_point admitted_at)
{
    const auto found = buckets_.find(organisation);
    if (found != buckets_.end() && clock_.now() - admitted_at <= refund_time) {
        found->second.tokens_ = std::min(found->second.capacity_, found->second.tokens_ + 1);
    }
}

} // namespace anvilpost
