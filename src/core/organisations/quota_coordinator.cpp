// Keeps delegations and token buckets, and decides requests for tokens.
#include "core/organisations/quota_coordinator.h"

#include <cmath>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Part of the slack that a bucket may hold beyond the burst. Without it, an organisation of a few requests a
/// second, whose burst is a few requests, would be refused more than 2% of them by chance alone.
constexpr double slack_share_of_bucket = 0.35;

/// A coordinator of a part of the nodes may hold this many times its part of it: chance weighs more where
/// fewer calls come.
constexpr double slack_share_factor = 2;

/// Part of the slack that the buckets of a new coordinator start with, times the shares delegated to it. The
/// coordinator before may have just granted the burst. Two changes in one window use it twice.
constexpr double initial_slack_share = 0.3;

/// With at least this much delegated, a bucket can hold one whole token, however small the organisation is.
/// At most ten coordinators have as much, and their additional tokens are less than half of the slack.
constexpr double min_delegated_for_whole_token = 0.1;

/// Time that is credited to the buckets at most when this node did nothing for longer.
constexpr duration max_credited_pause = 100ms;

/// A new coordinator leaves calls waiting for this long rather than refuse them, since most nodes delegate
/// their shares to it in this time.
constexpr duration start_time = 300ms;

constexpr duration sweep_period = 20ms;
constexpr duration delegation_memory = 10s;

/// Bounds of the time after which a refused node may ask again. With more nodes refused than tokens come in
/// that time, some of them ask in vain.
constexpr duration min_refusal = 10ms;
constexpr duration max_refusal = 1s;

/// Part of a bucket that is granted for calls that are only expected.
constexpr double expected_share = 0.25;

std::uint32_t stamp_at(time_point now)
{
    const auto since_epoch = std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch());
    return static_cast<std::uint32_t>(since_epoch.count());
}

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

duration from_seconds(double length)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(length));
}

} // namespace

quota_coordinator::quota_coordinator(const clock_port& clock, node_identity self, fleet_size& size)
    : clock_(clock), self_(self), size_(size)
{
}

void quota_coordinator::apply(const configuration& config)
{
    advance(clock_.now());
    slack_ = config.fleet_.quota_slack_;
    std::unordered_map<std::uint32_t, bucket> buckets;
    if (config.organisations_) {
        for (const auto& [name, organisation] : *config.organisations_) {
            const auto key = organisation_key(name);
            if (organisation.rate_per_second_ <= 0 || buckets.contains(key)) {
                continue;
            }
            const auto known = buckets_.find(key);
            auto& kept = buckets[key];
            if (known != buckets_.end()) {
                fill(known->second);
                kept = known->second;
            }
            else {
                kept.credited_ = share_seconds_;
            }
            kept.rate_ = organisation.rate_per_second_;
            kept.burst_ = organisation.burst_;
            fill(kept);
        }
    }
    buckets_ = std::move(buckets);
}

double quota_coordinator::slack_part() const
{
    return std::min(1.0, slack_share_factor * delegated());
}

double quota_coordinator::capacity_of(const bucket& of) const
{
    const double capacity = of.burst_ * delegated() + slack_ * slack_share_of_bucket * slack_part();
    return delegated() >= min_delegated_for_whole_token ? std::max(1.0, capacity) : capacity;
}

void quota_coordinator::fill(bucket& filled) const
{
    filled.tokens_ += filled.rate_ * (share_seconds_ - filled.credited_);
    filled.tokens_ = std::min(filled.tokens_, capacity_of(filled));
    filled.credited_ = share_seconds_;
}

/// Credits the time since the last call to the buckets, with the shares that were delegated meanwhile.
void quota_coordinator::advance(time_point now)
{
    share_seconds_ += delegated() * seconds(std::min(now - advanced_at_, max_credited_pause));
    advanced_at_ = now;
    if (now - swept_at_ >= sweep_period) {
        swept_at_ = now;
        drop_expired(now);
    }
}

void quota_coordinator::drop_expired(time_point now)
{
    const double before = shares_;
    shares_ = 0;
    for (auto& [unused, known] : delegations_) {
        if (known.expires_at_ <= now) {
            known.share_ = 0;
        }
        shares_ += known.share_;
    }
    std::erase_if(delegations_,
                  [&](const auto& item) { return now - item.second.seen_at_ > delegation_memory; });
    if (shares_ < before) {
        for (auto& [unused, each] : buckets_) {
            fill(each);
        }
    }
}

/// A delegation is dated by the echo of this node's own answer, so that time spent in the network, or in the
/// queue of a node that was frozen, cannot make it valid for longer than its sender expects.
void quota_coordinator::update_delegation(const quota_request& request, delegation& of, time_point now)
{
    const double before = shares_;
    shares_ -= of.share_;
    of.share_ = 0;
    of.number_ = request.number_;
    of.seen_at_ = now;
    const duration age = std::chrono::milliseconds(stamp_at(now) - request.echo_);
    if (request.share_of_ > 0 && age < delegation_lifetime) {
        if (before <= 0) {
            start_buckets(now);
        }
        of.share_ = 1.0 / std::max(request.share_of_, size_.nodes(now));
        of.expires_at_ = now + delegation_lifetime - age;
    }
    shares_ = std::max(0.0, shares_ + of.share_);
    if (shares_ < before) {
        for (auto& [unused, each] : buckets_) {
            fill(each);
        }
    }
}

/// This node begins to be a coordinator. Whoever alternates between being one and not gets no tokens by that.
void quota_coordinator::start_buckets(time_point now)
{
    constexpr duration pause = 10s;
    const bool may_start = started_buckets_at_ == time_point{} || now - started_buckets_at_ > pause;
    started_buckets_at_ = now;
    for (auto& [unused, each] : buckets_) {
        each.tokens_ = 0;
        each.credited_ = share_seconds_;
        each.initial_tokens_ = may_start ? slack_ * initial_slack_share : 0;
    }
}

std::optional<quota_answer> quota_coordinator::on_request(const quota_request& request)
{
    const auto now = clock_.now();
    advance(now);
    size_.hear(request.nodes_, now);
    auto [known, added] = delegations_.try_emplace(request.from_);
    if (!added && request.number_ <= known->second.number_) {
        return std::nullopt;
    }
    update_delegation(request, known->second, now);
    ++counters_.requests_;
    quota_answer answer{
        self_, request.from_, request.via_, request.number_, stamp_at(now), size_.observed(now), {}};
    for (const auto& ask : request.asks_) {
        const auto found = buckets_.find(ask.organisation_);
        // A node whose configuration is newer than this one's waits until this node has it, too.
        if (found != buckets_.end()) {
            answer.grants_.push_back(decide(ask, found->second, now));
        }
    }
    return answer;
}

quota_grant quota_coordinator::decide(const quota_ask& ask, bucket& from, time_point now)
{
    fill(from);
    from.tokens_ = std::min(from.tokens_ + ask.returned_, capacity_of(from));
    from.used_.at(now) -= ask.returned_;
    const bool use_initial = delegated() >= min_delegated_for_whole_token;
    const double initial = use_initial ? from.initial_tokens_ * slack_part() : 0;
    const int for_waiting = std::min(ask.waiting_, static_cast<int>(std::max(0.0, from.tokens_ + initial)));
    const double left = from.tokens_ - for_waiting;
    const int for_expected = std::clamp(static_cast<int>(left * expected_share), 0, ask.expected_);
    const int granted = for_waiting + for_expected;
    const double from_initial = std::max(0.0, granted - from.tokens_);
    from.initial_tokens_ -= from_initial;
    from.tokens_ -= granted - from_initial;
    from.used_.at(now) += granted;
    counters_.tokens_asked_ += static_cast<std::uint64_t>(ask.waiting_ + ask.expected_);
    counters_.tokens_granted_ += static_cast<std::uint64_t>(granted);
    quota_grant grant{ask.organisation_, granted, {}, std::max(0, from.used_.sum(now))};
    const bool starting = now - started_buckets_at_ < start_time;
    if (for_waiting < ask.waiting_ && !starting) {
        // Nodes that are refused come back one by one, as tokens do.
        const double rate = from.rate_ * delegated();
        const duration per_token = rate > 0 ? std::min(max_refusal, from_seconds(1 / rate)) : max_refusal;
        const double missing = std::max(0.0, 1 - from.tokens_);
        const duration until_token =
            rate > 0 ? std::min(max_refusal, from_seconds(missing / rate)) : max_refusal;
        from.next_token_at_ = std::max(from.next_token_at_ + per_token, now + until_token);
        from.next_token_at_ = std::min(from.next_token_at_, now + max_refusal);
        grant.ask_again_in_ = std::max<duration>(min_refusal, from.next_token_at_ - now);
    }
    return grant;
}

std::optional<int> quota_coordinator::used(const std::string& organisation) const
{
    const auto found = buckets_.find(organisation_key(organisation));
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    auto used = found->second.used_;
    return std::max(0, used.sum(clock_.now()));
}

void quota_coordinator::on_tick()
{
    advance(clock_.now());
}

} // namespace anvilpost
