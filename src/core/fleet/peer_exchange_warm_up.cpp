// Cold upstreams, between nodes: that an upstream says it is cold is passed on at once, and the rate of a
// cold upstream is divided among a few nodes of its data centre.
//
// Nodes divide by their own tables of peers, which differ after starts, losses and partitions. A node that
// knows less than it should therefore takes less: nothing right after its start or while it has met no other
// node, and only an equal part while it sees few of the nodes that it knows.
#include "core/fleet/peer_exchange.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A node sends nothing to cold upstreams for this long after its start: nodes that start together take about
/// a second to learn of each other.
constexpr duration start_guard = 1500ms;

/// Share of the rate that another data centre uses in all when it sees no node of the upstream's own one,
/// which may be gone or only unreachable.
constexpr double foreign_share = 0.25;

/// Maximum number of warm-ups in one message, those that last longest first.
constexpr std::size_t max_warm_ups_per_message = 32;

} // namespace

double peer_exchange::warm_up_share(const std::string& upstream, const upstream_config& config,
                                    double per_second, time_point now) const
{
    if (!started_ || now - *started_ < start_guard) {
        return 0;
    }
    const auto& self = peers_.self();
    const bool has_other_seeds = std::any_of(seeds_.begin(), seeds_.end(), [&](const exchange_address& seed) {
        return seed.ip_ != self.ip_ || seed.port_ != self.port_;
    });
    if (peers_.size() == 0 && has_other_seeds) {
        return 0; // More likely cut off than alone, as are the others that start now.
    }
    const double share = duties_.share_of(upstream, config.data_centre_, warm_up_sharers(per_second), now);
    return config.data_centre_ == self.data_centre_ ? share : share * foreign_share;
}

/// Finds the cold upstreams and sets this node's shares of their rates.
void peer_exchange::divide_warm_up_rates(time_point now)
{
    std::erase_if(warm_ups_, [&](const auto& item) {
        return std::max(item.second.ends_for_local_peers_, item.second.ends_for_leaders_) <= now;
    });
    const auto notices = ports_.engine_.warm_up_notices();
    if (!has_cold_upstreams_ && notices == divided_warm_ups_) {
        return; // No upstream is cold: the usual case, at up to thousands of upstreams.
    }
    divided_warm_ups_ = notices;
    has_cold_upstreams_ = false;
    for (const auto& [service, state] : ports_.engine_.services()) {
        for (const auto& [name, tracker] : state.upstreams()) {
            const auto& warm_up = tracker->gate().warm_up();
            if (warm_up.active(now)) {
                has_cold_upstreams_ = true;
                tracker->gate().set_warm_up_share(
                    warm_up_share(name, tracker->config(), warm_up.per_second(), now), now);
            }
        }
    }
}

void peer_exchange::record_warm_up(const std::string& service, const std::string& upstream, duration left,
                                   bool is_news)
{
    const auto key = upstream_key(service, upstream);
    const auto* known = find_upstream(key);
    if (known == nullptr) {
        return;
    }
    const auto ends_at = ports_.clock_.now() + left;
    auto& entry = warm_ups_[key];
    if (entry.incarnation_ != known->incarnation_) {
        entry = {known->incarnation_, {}, {}};
    }
    entry.ends_for_local_peers_ = std::max(entry.ends_for_local_peers_, ends_at);
    entry.ends_for_leaders_ = std::max(entry.ends_for_leaders_, ends_at);
    if (is_news) {
        warm_up_due_ = true;
        next_leaders_ = {};
        next_maintenance_ = {}; // Divides the rate at the next tick.
    }
}

void peer_exchange::add_warm_ups(peer_message& message, recipients to, time_point now) const
{
    for (const auto& [key, entry] : warm_ups_) {
        const auto ends_at =
            to == recipients::local_peers ? entry.ends_for_local_peers_ : entry.ends_for_leaders_;
        if (ends_at > now) {
            message.warm_ups_.push_back({key, entry.incarnation_, ends_at - now});
        }
    }
    std::sort(message.warm_ups_.begin(), message.warm_ups_.end(),
              [](const auto& a, const auto& b) { return a.left_ > b.left_; });
    message.warm_ups_.resize(std::min(message.warm_ups_.size(), max_warm_ups_per_message));
}

void peer_exchange::handle_warm_ups(const peer_message& message, time_point now)
{
    const bool is_local_sender = message.sender_.data_centre_ == peers_.self().data_centre_;
    for (const auto& notice : message.warm_ups_) {
        const auto* upstream = find_upstream(notice.upstream_);
        if (upstream == nullptr || upstream->incarnation_ != notice.incarnation_) {
            continue;
        }
        const auto notices = ports_.engine_.warm_up_notices();
        ports_.engine_.on_peer_warm_up(upstream->service_, upstream->name_, notice.left_);
        const bool is_news = ports_.engine_.warm_up_notices() != notices;
        if (!duties_.leads()) {
            continue;
        }
        auto& entry = warm_ups_[notice.upstream_];
        if (entry.incarnation_ != notice.incarnation_) {
            entry = {notice.incarnation_, {}, {}};
        }
        auto& ends_at = is_local_sender ? entry.ends_for_leaders_ : entry.ends_for_local_peers_;
        ends_at = std::max(ends_at, now + notice.left_);
        if (is_news && is_local_sender) {
            next_leaders_ = {};
        }
        warm_up_due_ = warm_up_due_ || (is_news && !is_local_sender);
    }
}

} // namespace anvilpost
