// What upstreams say of themselves in responses to one node, passed on to the others: rate limits, which the
// nodes divide among themselves, and that an upstream leaves.
#include "core/fleet/peer_exchange.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// That an upstream leaves is repeated in messages for this long after a node learnt it; long enough for
/// nodes that start meanwhile or lose messages.
constexpr duration leaving_propagation_time = 10s;

/// Maximum number of leaving upstreams in one message, those learnt last first.
constexpr std::size_t max_leaving_per_message = 32;

/// The end of an upstream's rate limit is repeated in messages for this long. A limit itself is repeated
/// while it lasts.
constexpr duration ended_limit_propagation_time = 10s;

/// Maximum number of rate limits in one message, those learnt last first.
constexpr std::size_t max_rate_limits_per_message = 32;

} // namespace

/// Finds the upstreams that limit their rate and sets this node's shares of the limits.
void peer_exchange::divide_rate_limits(time_point now)
{
    const auto notices = ports_.engine_.rate_limit_notices();
    if (!limits_known_ && notices == divided_notices_) {
        return; // No upstream limits its rate: the usual case, at up to thousands of upstreams.
    }
    divided_notices_ = notices;
    limits_known_ = false;
    rate_limited_.clear();
    for (const auto& [service, state] : ports_.engine_.services()) {
        for (const auto& [name, tracker] : state.upstreams()) {
            const auto& latest = tracker->gate().limit().latest();
            const bool known_lately =
                latest.learnt_at_ != time_point{} && now - latest.learnt_at_ <= ended_limit_propagation_time;
            if (!latest.per_second_ && !known_lately) {
                continue;
            }
            limits_known_ = true;
            const auto key = upstream_key(service, name);
            if (find_upstream(key) != nullptr) {
                rate_limited_.push_back(key);
            }
            const double share = duties_.share_of(name, tracker->config().data_centre_,
                                                  rate_limit_sharers(latest.per_second_.value_or(0)), now);
            tracker->gate().set_limit_share(share, now);
        }
    }
}

void peer_exchange::add_rate_limits(peer_message& message, time_point now) const
{
    std::vector<std::pair<duration, upstream_rate_limit>> by_age;
    for (const auto key : rate_limited_) {
        const auto& upstream = upstreams_.at(key);
        const auto* tracker = ports_.engine_.find_upstream(upstream.service_, upstream.name_);
        if (tracker == nullptr) {
            continue;
        }
        const auto& latest = tracker->gate().limit().latest();
        const duration age = now - latest.learnt_at_;
        by_age.push_back({age, {key, upstream.incarnation_, latest.per_second_, age}});
    }
    const auto count = std::min(max_rate_limits_per_message, by_age.size());
    std::partial_sort(by_age.begin(), by_age.begin() + static_cast<std::ptrdiff_t>(count), by_age.end(),
                      [](const auto& a, const auto& b) { return a.first < b.first; });
    for (std::size_t i = 0; i < count; ++i) {
        message.rate_limits_.push_back(by_age[i].second);
    }
}

void peer_exchange::handle_rate_limits(const peer_message& message, time_point now)
{
    for (const auto& limit : message.rate_limits_) {
        const auto* upstream = find_upstream(limit.upstream_);
        if (upstream != nullptr && upstream->incarnation_ == limit.incarnation_) {
            ports_.engine_.on_peer_rate_limit(upstream->service_, upstream->name_,
                                              {limit.per_second_, now - limit.age_});
        }
    }
}

void peer_exchange::drop_old_leaving(time_point now)
{
    std::erase_if(leaving_, [&](const auto& item) { return now - item.second > leaving_propagation_time; });
}

void peer_exchange::record_leaving(const std::string& service, const std::string& upstream)
{
    const auto key = upstream_key(service, upstream);
    if (const auto* known = find_upstream(key)) {
        leaving_.try_emplace({key, known->incarnation_}, ports_.clock_.now());
        early_status_due_ = true;
    }
}

void peer_exchange::add_leaving(peer_message& message) const
{
    std::vector<std::pair<time_point, upstream_leaving>> by_time;
    for (const auto& [notice, learnt_at] : leaving_) {
        by_time.push_back({learnt_at, {notice.first, notice.second}});
    }
    const auto count = std::min(max_leaving_per_message, by_time.size());
    std::partial_sort(by_time.begin(), by_time.begin() + static_cast<std::ptrdiff_t>(count), by_time.end(),
                      [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t i = 0; i < count; ++i) {
        message.leaving_.push_back(by_time[i].second);
    }
}

/// Notices are passed on by each node that did not know them: datagrams get lost, and an upstream that leaves
/// must not get new calls from any node.
void peer_exchange::handle_leaving(const peer_message& message, time_point now)
{
    for (const auto& notice : message.leaving_) {
        const auto* upstream = find_upstream(notice.upstream_);
        if (upstream == nullptr || upstream->incarnation_ != notice.incarnation_) {
            continue;
        }
        const auto* tracker = ports_.engine_.find_upstream(upstream->service_, upstream->name_);
        if (tracker == nullptr || tracker->leaving()) {
            continue;
        }
        leaving_.try_emplace({notice.upstream_, notice.incarnation_}, now);
        ports_.engine_.on_upstream_leaving(upstream->service_, upstream->name_, leaving_source::peer);
        if (on_peer_leaving_) {
            on_peer_leaving_(upstream->service_, upstream->name_);
        }
    }
}

} // namespace anvilpost
