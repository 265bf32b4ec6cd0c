// Schedules and fills outgoing gossip messages, and applies received ones to the peer table, the view
// follower and the call engine.
#include "core/fleet/peer_exchange.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Messages that a node sends per second to the other nodes of its data centre, however many there are. At
/// about 20 us of processor time each, they cost a node that has a tenth of a core 1% of it.
constexpr int status_messages_per_second = 60;
constexpr duration min_status_period = 40ms;

/// Period at which measured loads are sent. The loads that other nodes know are on average half this period
/// old.
constexpr duration load_period = 40ms;
constexpr duration load_period_in_large_data_centre = 60ms;

/// With at most this many other nodes in the data centre, the start and the end of each call are sent early
/// instead of with the next periodic message.
constexpr std::size_t few_local_peers = 7;
constexpr duration min_send_gap = 5ms;

/// Period of the messages between the leaders of the data centres.
constexpr duration leader_period = 100ms;

/// Shortest time between two announcements of a later view.
constexpr duration min_announcement_gap = 60ms;

/// Loads older than this are not sent to the nodes of the data centre.
constexpr duration max_load_age = 400ms;

/// Pauses between two rounds of asking seeds: while this node has no complete view of the store, while it
/// knows fewer than `few_peers` live peers, and otherwise.
constexpr duration seed_period_without_view = 50ms;
constexpr duration seed_period = 250ms;
constexpr duration seed_period_when_joined = 5s;
constexpr std::size_t few_peers = 2;

/// Entries of the peer table in one message: in a periodic one, and in a reply to a node that asked for
/// peers or was unknown.
constexpr std::size_t peers_per_message = 2;
constexpr std::size_t peers_per_reply = 12;

/// A strike is repeated in messages for this long, since datagrams get lost and, in a large data centre, a
/// node sends to each other node less than twice a second.
constexpr duration strike_propagation_time = 2s;

/// Maximum number of strikes in one message, the newest first. Upstreams that reset many connections cause
/// far more strikes than this, and none of those is of use to other nodes.
constexpr std::size_t max_strikes_per_message = 24;

/// A strike is remembered for longer than it is sent; otherwise a node would take a late repetition for a
/// new strike, and nodes would send it to each other for ever.
constexpr duration strike_retention_time = 10s;

/// A peer of this data centre counts as silent once this many of its periodic messages are missing, but
/// not before `min_heartbeat_timeout`.
constexpr int max_missed_messages = 6;
constexpr duration min_heartbeat_timeout = 350ms;

/// Period at which silent peers and old strikes are removed and duties are recomputed.
constexpr duration maintenance_period = 100ms;

/// Converts a figure that an upstream reported to the range of its field in messages. A figure that is no
/// number becomes the largest value, so that an upstream with a broken report does not look idle.
int to_message_field(double reported)
{
    constexpr double largest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<int>(reported < largest ? std::max(0.0, reported) : largest);
}

} // namespace

peer_exchange::peer_exchange(const exchange_ports& ports, peer self)
    : ports_(ports), peers_(std::move(self), {}), duties_(peers_),
      quotas_(ports.clock_, ports.datagrams_, peers_)
{
    quotas_.client().decide_ = [this](call_id call, const quota_decision& decision) {
        ports_.engine_.on_quota_decided(call, decision);
    };
}

duration peer_exchange::status_period(std::size_t local_peer_count) const
{
    const duration period_at_rate =
        duration(1s) * static_cast<int>(local_peer_count) / status_messages_per_second;
    const duration max_period = duties_.leads() ? leader_period : duration(1s);
    return std::max(min_status_period, std::min(period_at_rate, max_period));
}

void peer_exchange::on_configuration(const configuration& effective)
{
    quotas_.on_configuration(effective);
    upstreams_.clear();
    for (const auto& [service, config] : effective.services_) {
        for (const auto& [name, upstream] : config.upstreams_) {
            const auto [entry, added] = upstreams_.try_emplace(
                upstream_key(service, name), known_upstream{service, name, upstream.data_centre_,
                                                            stable_hash(upstream.incarnation_), false});
            entry->second.ambiguous_ = entry->second.ambiguous_ || !added;
        }
    }
    std::erase_if(loads_, [&](const auto& item) { return !upstreams_.contains(item.first); });
    std::erase_if(rate_limited_, [&](const auto key) { return !upstreams_.contains(key); });
    std::erase_if(reported_counts_, [&](const auto& item) { return !upstreams_.contains(item.first); });
}

const peer_exchange::known_upstream* peer_exchange::find_upstream(std::uint32_t key) const
{
    const auto found = upstreams_.find(key);
    return found == upstreams_.end() || found->second.ambiguous_ ? nullptr : &found->second;
}

void peer_exchange::update_load(std::uint32_t key, upstream_load load, time_point measured_at)
{
    load.upstream_ = key;
    loads_[key] = {load, measured_at, ports_.clock_.now()};
}

void peer_exchange::record_load(const std::string& service, const std::string& upstream,
                                const load_report& report, bool healthy, bool probed)
{
    upstream_load load;
    load.in_flight_ = to_message_field(report.in_flight_);
    load.slots_ = report.slots_.value_or(0);
    load.slowdown_known_ = report.slowdown_.has_value();
    load.slowdown_percent_ = to_message_field(report.slowdown_.value_or(1.0) * 100.0);
    load.healthy_ = healthy;
    load.probed_ = probed;
    update_load(upstream_key(service, upstream), load, ports_.clock_.now());
}

void peer_exchange::record_unanswered_probe(const std::string& service, const std::string& upstream)
{
    upstream_load load;
    load.answered_ = false;
    load.probed_ = true;
    update_load(upstream_key(service, upstream), load, ports_.clock_.now());
}

void peer_exchange::record_strike(std::uint64_t fingerprint, const std::string& upstream)
{
    const bool added =
        strikes_.try_emplace({fingerprint, upstream}, strike_propagation{ports_.clock_.now(), true, true})
            .second;
    early_status_due_ = early_status_due_ || added;
}

void peer_exchange::handle_strikes(const peer_message& message, time_point now)
{
    const bool is_local_sender = message.sender_.data_centre_ == peers_.self().data_centre_;
    for (const auto& strike : message.strikes_) {
        const strike_propagation relayed{now, duties_.leads() && !is_local_sender,
                                         duties_.leads() && is_local_sender};
        if (strikes_.try_emplace(strike, relayed).second) {
            ports_.engine_.on_peer_strike(strike.fingerprint_, strike.upstream_);
        }
    }
}

void peer_exchange::add_strikes(peer_message& message, recipients to, time_point now) const
{
    std::vector<std::pair<time_point, const request_strike*>> selected;
    for (const auto& [strike, propagation] : strikes_) {
        const bool wanted =
            to == recipients::local_peers ? propagation.for_local_peers_ : propagation.for_leaders_;
        if (wanted && now - propagation.recorded_at_ <= strike_propagation_time) {
            selected.emplace_back(propagation.recorded_at_, &strike);
        }
    }
    std::sort(selected.begin(), selected.end(),
              [](const auto& a, const auto& b) { return a.first > b.first; });
    selected.resize(std::min(selected.size(), max_strikes_per_message));
    for (const auto& [unused, strike] : selected) {
        message.strikes_.push_back(*strike);
    }
}

void peer_exchange::on_tick()
{
    const auto now = ports_.clock_.now();
    started_ = started_.value_or(now);
    detect_cut_off(now);
    tell_store_access(now);
    if (now >= next_maintenance_) {
        next_maintenance_ = now + maintenance_period;
        peers_.remove_silent(now);
        std::erase_if(strikes_, [&](const auto& item) {
            return now - item.second.recorded_at_ > strike_retention_time;
        });
        const auto local_peer_count = peers_.live_local_peers(now).size();
        peers_.set_local_heartbeat_timeout(
            std::max<duration>(min_heartbeat_timeout, status_period(local_peer_count) * max_missed_messages));
        duties_.update(now);
        ports_.follower_.set_rank(duties_.store_rank());
        const auto live = peers_.live(now);
        const auto cut_off = static_cast<std::size_t>(
            std::count_if(live.begin(), live.end(), [](const peer* other) { return other->cut_off_; }));
        ports_.engine_.set_fleet_position({live.size() + 1, peers_.self().data_centre_, cut_off});
        drop_old_leaving(now);
        divide_rate_limits(now);
        divide_warm_up_rates(now);
    }
    // A limited upstream can take its next call when time has passed, and another node those of a node that
    // is cut off; nothing else would start one.
    loads_changed_ =
        loads_changed_ || !rate_limited_.empty() || has_cold_upstreams_ || peers_.self().cut_off_;
    apply_loads();
    quotas_.on_tick();
    contact_seeds(now);
    announce_view(now);
    send_to_local_peers(now);
    send_to_leaders(now);
}

/// Notifies the other nodes at once when this node has lost or regained the upstreams.
void peer_exchange::detect_cut_off(time_point now)
{
    const bool cut_off = ports_.engine_.reachability().cut_off(now);
    if (cut_off != peers_.self().cut_off_) {
        peers_.set_self_cut_off(cut_off);
        early_status_due_ = true;
        next_maintenance_ = now;
    }
}

/// Another node must take over the watch of the store at once when the store refuses a leader, and the other
/// nodes must know which of those that try is answered.
void peer_exchange::tell_store_access(time_point now)
{
    const auto access = ports_.follower_.access();
    if (access == peers_.self().store_access_) {
        return;
    }
    peers_.set_self_store_access(access);
    next_maintenance_ = now;
    const auto* leader = peers_.find(duties_.leader_of(peers_.self().data_centre_, now));
    const bool leader_refused = leader != nullptr && leader->store_access_ == store_access::refuses;
    if (!duties_.leads() && !leader_refused) {
        return;
    }
    next_leaders_ = now;
    const auto bytes = encode(make_message(now));
    for (const auto* local_peer : peers_.reachable_local_peers(now)) {
        send(*local_peer, bytes);
    }
}

void peer_exchange::contact_seeds(time_point now)
{
    if (now < next_seeds_) {
        return;
    }
    const auto live = peers_.live(now);
    const bool few_known = live.size() < few_peers;
    const duration pause = few_known ? seed_period : seed_period_when_joined;
    next_seeds_ = now + (ports_.follower_.complete() ? pause : seed_period_without_view);
    for (const auto& seed : seeds_) {
        const bool known = std::any_of(live.begin(), live.end(), [&](const peer* other) {
            return other->ip_ == seed.ip_ && other->port_ == seed.port_;
        });
        const bool self = seed.ip_ == peers_.self().ip_ && seed.port_ == peers_.self().port_;
        if (!self && !known) {
            auto message = make_message(now);
            message.reply_requested_ = true;
            send(seed.ip_, seed.port_, encode(message));
        }
    }
}

peer_message peer_exchange::make_message(time_point now)
{
    peer_message message;
    message.sender_ = peers_.self();
    message.sequence_ = ++sequence_;
    sent_at_[sequence_ % tracked_messages] = now;
    if (ports_.follower_.complete()) {
        message.view_revision_ = ports_.follower_.view().revision();
        message.view_age_ = now - ports_.follower_.verified_at();
    }
    return message;
}

void peer_exchange::add_echoes(peer_message& message, time_point now) const
{
    for (const auto& [name, last] : last_messages_) {
        if (peers_.reachable(name, now)) {
            message.echoes_.push_back({last.identity_, last.sequences_.highest(), now - last.received_});
        }
    }
}

void peer_exchange::add_call_counts(peer_message& message)
{
    message.has_call_counts_ = true;
    for (const auto& [service_name, service] : ports_.engine_.services()) {
        for (const auto& [name, upstream] : service.upstreams()) {
            const auto key = upstream_key(service_name, name);
            auto& reported = reported_counts_[key];
            const auto served = static_cast<int>(upstream->own_calls_served() - reported.served_);
            const auto failed = static_cast<int>(upstream->own_calls_failed() - reported.failed_);
            reported = {upstream->own_calls_served(), upstream->own_calls_failed()};
            if (upstream->in_flight() > 0 || served > 0 || failed > 0) {
                message.call_counts_.push_back(
                    {key, upstream->in_flight(), std::max(0, served), std::max(0, failed)});
            }
        }
    }
}

/// Adds the loads that this node measured, or as leader received from other data centres, since it last
/// sent loads.
void peer_exchange::add_new_loads(peer_message& message, time_point now)
{
    for (const auto& [key, cached] : loads_) {
        const bool is_new = cached.recorded_at_ > last_load_send_;
        if (is_new && now - cached.measured_at_ <= max_load_age) {
            message.loads_.push_back(cached.load_);
            message.loads_.back().age_ = now - cached.measured_at_;
        }
    }
}

/// Adds the loads of this data centre's upstreams, for the leaders of the other data centres.
void peer_exchange::add_local_loads(peer_message& message, time_point now) const
{
    for (const auto& [key, cached] : loads_) {
        const auto* upstream = find_upstream(key);
        const bool is_local = upstream != nullptr && upstream->data_centre_ == peers_.self().data_centre_;
        if (is_local && now - cached.measured_at_ <= leader_period) {
            message.loads_.push_back(cached.load_);
            message.loads_.back().age_ = now - cached.measured_at_;
        }
    }
}

void peer_exchange::send_to_local_peers(time_point now)
{
    const bool may_be_due = now >= next_status_ || now >= next_loads_ ||
                            (has_few_local_peers_ && early_status_due_) || warm_up_due_;
    if (!may_be_due) {
        return;
    }
    const auto local_peers = peers_.reachable_local_peers(now);
    if (local_peers.empty()) {
        return;
    }
    const bool few = local_peers.size() <= few_local_peers;
    has_few_local_peers_ = few;
    const bool status_due =
        now >= next_status_ || (few && early_status_due_ && now - last_load_send_ >= min_send_gap);
    const bool load_period_ended = now >= next_loads_;
    const bool loads_due = load_period_ended && (few || duties_.is_prober() || duties_.leads());
    if (load_period_ended) {
        next_loads_ = now + (few ? load_period : load_period_in_large_data_centre);
    }
    if (!status_due && !loads_due && !warm_up_due_) {
        return;
    }
    auto message = make_message(now);
    add_warm_ups(message, recipients::local_peers, now);
    warm_up_due_ = false;
    if (loads_due) {
        add_new_loads(message, now);
        last_load_send_ = now;
    }
    if (status_due) {
        add_unreached_services(message, now);
        next_status_ = now + status_period(local_peers.size());
        early_status_due_ = false;
        add_call_counts(message);
        add_strikes(message, recipients::local_peers, now);
        add_rate_limits(message, now);
        add_leaving(message);
        add_echoes(message, now);
        for (const auto& known : peers_.sample(peers_per_message, ports_.random_, now)) {
            message.peers_.push_back({*known.peer_, known.age_});
        }
    }
    if (!status_due && message.loads_.empty() && message.warm_ups_.empty()) {
        return;
    }
    const auto bytes = encode(message);
    for (const auto* local_peer : local_peers) {
        send(*local_peer, bytes);
    }
}

void peer_exchange::send_to_leaders(time_point now)
{
    if (!duties_.leads() || now < next_leaders_) {
        return;
    }
    next_leaders_ = now + leader_period;
    for (const auto& data_centre : peers_.data_centres(now)) {
        if (data_centre == peers_.self().data_centre_) {
            continue;
        }
        const auto* leader = peers_.find(duties_.leader_of(data_centre, now));
        if (leader == nullptr) {
            continue;
        }
        auto message = make_message(now);
        add_local_loads(message, now);
        add_strikes(message, recipients::leaders, now);
        add_warm_ups(message, recipients::leaders, now);
        add_rate_limits(message, now);
        add_leaving(message);
        if (const auto last = last_messages_.find(leader->name_); last != last_messages_.end()) {
            message.echoes_.push_back(
                {last->second.identity_, last->second.sequences_.highest(), now - last->second.received_});
        }
        for (const auto& known : peers_.sample(peers_per_message, ports_.random_, now)) {
            message.peers_.push_back({*known.peer_, known.age_});
        }
        send(*leader, encode(message));
    }
}

/// Tells the others of a later view at once; the periodic messages repeat it. A node that read the store
/// tells its data centre and some nodes of each other one. One that has the view from another data centre
/// tells its own. A leader does both, since the others learn most quickly from the largest node.
void peer_exchange::announce_view(time_point now)
{
    const auto& follower = ports_.follower_;
    const auto revision = follower.view().revision();
    if (!follower.complete() || revision == announced_revision_ || now < next_announcement_) {
        return;
    }
    const bool is_first_view = announced_revision_ == 0;
    announced_revision_ = revision;
    if (is_first_view) {
        return;
    }
    next_announcement_ = now + min_announcement_gap;
    const auto* from = peers_.find(follower.revision_from());
    const bool from_local = from != nullptr && from->data_centre_ == peers_.self().data_centre_;
    const bool from_remote = from != nullptr && !from_local;
    if (from_local && !duties_.leads()) {
        return;
    }
    const auto bytes = encode(make_message(now));
    for (const auto* local_peer : peers_.reachable_local_peers(now)) {
        send(*local_peer, bytes);
    }
    if (from_remote) {
        return;
    }
    for (const auto& data_centre : peers_.data_centres(now)) {
        if (data_centre != peers_.self().data_centre_) {
            send_to_data_centre(data_centre, bytes, now);
        }
    }
}

/// Sends to the leader of another data centre and, since that may have been lost lately, to a second node.
void peer_exchange::send_to_data_centre(const std::string& data_centre, const std::string& bytes,
                                        time_point now)
{
    auto nodes = peers_.live(now);
    std::erase_if(nodes, [&](const peer* other) { return other->data_centre_ != data_centre; });
    if (nodes.empty()) {
        return;
    }
    const auto leader = duties_.leader_of(data_centre, now);
    const auto* second = nodes[random_below(ports_.random_, nodes.size())];
    if (const auto* first = peers_.find(leader)) {
        send(*first, bytes);
    }
    if (second->name_ != leader) {
        send(*second, bytes);
    }
}

void peer_exchange::send(const peer& to, const std::string& bytes)
{
    send(to.ip_, to.port_, bytes);
}

void peer_exchange::send(const std::string& ip, std::uint16_t port, const std::string& bytes)
{
    ++counters_.messages_sent_;
    counters_.bytes_sent_ += bytes.size();
    ports_.datagrams_.send(ip, port, bytes);
}

void peer_exchange::announce_stopping()
{
    peers_.set_self_stopping();
    const auto now = ports_.clock_.now();
    const auto bytes = encode(make_message(now));
    for (const auto* other : peers_.live(now)) {
        if (other->data_centre_ == peers_.self().data_centre_ || duties_.leads()) {
            send(*other, bytes);
        }
    }
    duties_.update(now);
}

void peer_exchange::on_datagram(const std::string& bytes)
{
    const auto message = decode_peer_message(bytes);
    if (!message) {
        ++counters_.unreadable_;
        return;
    }
    if (message->quota_request_ || message->quota_answer_) {
        quotas_.on_message(*message);
        return;
    }
    const auto now = ports_.clock_.now();
    const auto& sender = message->sender_;
    if (sender.name_ == peers_.self().name_) {
        return;
    }
    ++counters_.messages_received_;
    auto& last = last_messages_[sender.name_];
    const auto identity = identity_of(sender);
    if (last.identity_ != identity) {
        last = {identity, {}, {}, std::move(last.busy_upstreams_), {}};
    }
    const auto arrival = last.sequences_.add(message->sequence_);
    if (arrival == sequence_arrival::duplicate) {
        ++counters_.duplicates_;
        return;
    }
    const bool is_newest = arrival == sequence_arrival::newest;
    if (is_newest) {
        last.received_ = now;
        if (message->has_call_counts_) {
            last.unreached_ = {message->unreached_.begin(), message->unreached_.end()};
        }
    }
    const bool was_known = peers_.find(sender.name_) != nullptr;
    peers_.record_heartbeat(sender, now);
    for (const auto& known : message->peers_) {
        peers_.record_heartbeat(known.peer_, now - known.age_);
    }
    if (message->reply_requested_ || !was_known) {
        auto reply = make_message(now);
        for (const auto& known : peers_.sample(peers_per_reply, ports_.random_, now)) {
            reply.peers_.push_back({*known.peer_, known.age_});
        }
        add_echoes(reply, now);
        send(sender, encode(reply));
    }
    handle_view_status(*message, now);
    handle_strikes(*message, now);
    handle_loads(*message, now);
    handle_rate_limits(*message, now);
    handle_leaving(*message, now);
    handle_warm_ups(*message, now);
    if (message->has_call_counts_) {
        handle_call_counts(*message, last, is_newest);
    }
    loads_changed_ = loads_changed_ || !message->loads_.empty() || message->has_call_counts_;
    if (loads_changed_ && peers_.size() <= few_local_peers * 3) {
        apply_loads();
    }
}

void peer_exchange::apply_loads()
{
    if (loads_changed_) {
        loads_changed_ = false;
        ports_.engine_.apply_loads();
    }
}

/// Dates the sender's view. Its age is counted back from a time on this node's own clock: the time at which
/// this node sent the message that the sender echoes, plus the time for which the sender held it. A pause of
/// the sender or the network after that cannot make the view look younger than it is. Without an echo of a
/// remembered message, the age proves nothing and only the revision counts. A view of an earlier format
/// counts for nothing; without other peers, this node reads the store itself when its own view gets old.
void peer_exchange::handle_view_status(const peer_message& message, time_point now)
{
    if (!message.view_age_ || message.view_format_ < view_format) {
        return;
    }
    time_point verified_at{};
    const auto own_identity = identity_of(peers_.self());
    for (const auto& echo : message.echoes_) {
        const bool still_tracked =
            echo.sequence_ <= sequence_ && sequence_ - echo.sequence_ < tracked_messages;
        if (echo.identity_ == own_identity && still_tracked) {
            const auto sent_at = sent_at_[echo.sequence_ % tracked_messages];
            verified_at = std::min(now, sent_at + echo.hold_time_) - *message.view_age_;
        }
    }
    if (ports_.follower_.on_peer_view(message.view_revision_, verified_at) && on_later_view_) {
        on_later_view_(message.sender_, message.view_revision_);
    }
}

void peer_exchange::handle_loads(const peer_message& message, time_point now)
{
    const bool relay = duties_.leads() && message.sender_.data_centre_ != peers_.self().data_centre_;
    for (const auto& load : message.loads_) {
        const auto* upstream = find_upstream(load.upstream_);
        const auto measured_at = now - load.age_;
        if (upstream == nullptr) {
            continue;
        }
        const auto known = loads_.find(load.upstream_);
        if (known != loads_.end() && known->second.measured_at_ >= measured_at) {
            continue;
        }
        if (load.probed_) {
            ports_.engine_.on_probe(upstream->service_, upstream->name_, load.answered_, load.healthy_,
                                    measured_at);
        }
        if (load.answered_) {
            load_report report{static_cast<double>(load.in_flight_), std::nullopt, std::nullopt};
            if (load.slots_ > 0) {
                report.slots_ = load.slots_;
            }
            if (load.slowdown_known_) {
                report.slowdown_ = load.slowdown_percent_ / 100.0;
            }
            ports_.engine_.on_load(upstream->service_, upstream->name_, report, measured_at);
        }
        // A leader relays loads from other data centres; any other load is stored as already sent.
        loads_[load.upstream_] = {load, measured_at, relay ? now : time_point{}};
    }
}

/// The ended calls of a message are counted whenever it arrives. Its calls in flight hold only until a newer
/// message tells them, so those of a late message are ignored.
void peer_exchange::handle_call_counts(const peer_message& message, last_message& last, bool is_newest)
{
    const auto identity = identity_of(message.sender_);
    // In a large fleet, the upstreams' own load reports are more recent than the peers' call counts.
    const bool few = peers_.size() <= few_local_peers * 3;
    std::set<std::uint32_t> busy_upstreams;
    for (const auto& counts : message.call_counts_) {
        const auto* upstream = find_upstream(counts.upstream_);
        if (upstream == nullptr) {
            continue;
        }
        if (few && is_newest) {
            ports_.engine_.on_peer_load(upstream->service_, upstream->name_, identity, counts.in_flight_);
        }
        ports_.engine_.on_peer_outcomes(upstream->service_, upstream->name_, counts.served_, counts.failed_);
        if (counts.in_flight_ > 0) {
            busy_upstreams.insert(counts.upstream_);
        }
    }
    if (!is_newest) {
        return;
    }
    for (const auto key : last.busy_upstreams_) {
        const auto* upstream = find_upstream(key);
        if (upstream != nullptr && !busy_upstreams.contains(key)) {
            ports_.engine_.on_peer_load(upstream->service_, upstream->name_, identity, 0);
        }
    }
    last.busy_upstreams_ = std::move(busy_upstreams);
}

} // namespace anvilpost
