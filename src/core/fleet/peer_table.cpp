// Decides liveness by the time of the last heartbeat, and ranks nodes for duties by capacity and rendezvous
// hashing.
#include "core/fleet/peer_table.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <set>

namespace anvilpost {

std::uint64_t identity_of(const peer& node)
{
    return stable_hash(node.name_ + "\n" + std::to_string(node.incarnation_));
}

void peer_table::record_heartbeat(const peer& reported, time_point heartbeat_at)
{
    if (reported.name_ == self_.name_) {
        return;
    }
    const auto found = entries_.find(reported.name_);
    if (found == entries_.end()) {
        entries_[reported.name_] = {reported, heartbeat_at};
        return;
    }
    auto& known = found->second;
    const bool same_incarnation = reported.incarnation_ == known.peer_.incarnation_;
    if (!same_incarnation && heartbeat_at < known.last_heartbeat_) {
        return;
    }
    const bool stopping = reported.stopping_ || (same_incarnation && known.peer_.stopping_);
    const bool older = same_incarnation && heartbeat_at < known.last_heartbeat_;
    const bool cut_off = older ? known.peer_.cut_off_ : reported.cut_off_;
    const auto access = older ? known.peer_.store_access_ : reported.store_access_;
    // Nodes of earlier versions report others without their capabilities.
    const auto capabilities = reported.capabilities_ | (same_incarnation ? known.peer_.capabilities_ : 0);
    known.last_heartbeat_ = same_incarnation ? std::max(known.last_heartbeat_, heartbeat_at) : heartbeat_at;
    known.peer_ = reported;
    known.peer_.stopping_ = stopping;
    known.peer_.cut_off_ = cut_off;
    known.peer_.store_access_ = access;
    known.peer_.capabilities_ = capabilities;
}

void peer_table::remove_silent(time_point now)
{
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.last_heartbeat_ > settings_.removed_after_;
    });
}

bool peer_table::is_reachable(const entry& known, time_point now) const
{
    const bool is_local = known.peer_.data_centre_ == self_.data_centre_;
    const auto limit = is_local ? settings_.local_heartbeat_timeout_ : settings_.remote_heartbeat_timeout_;
    return now - known.last_heartbeat_ <= limit;
}

bool peer_table::is_alive(const entry& known, time_point now) const
{
    return !known.peer_.stopping_ && is_reachable(known, now);
}

bool peer_table::reachable(const std::string& name, time_point now) const
{
    const auto found = entries_.find(name);
    return found != entries_.end() && is_reachable(found->second, now);
}

bool peer_table::alive(const std::string& name, time_point now) const
{
    const auto found = entries_.find(name);
    return found != entries_.end() && is_alive(found->second, now);
}

const peer* peer_table::find(const std::string& name) const
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second.peer_;
}

std::vector<const peer*> peer_table::known() const
{
    std::vector<const peer*> found;
    found.reserve(entries_.size());
    for (const auto& [unused, each] : entries_) {
        found.push_back(&each.peer_);
    }
    return found;
}

std::vector<const peer*> peer_table::live(time_point now) const
{
    std::vector<const peer*> found;
    for (const auto& [unused, known] : entries_) {
        if (is_alive(known, now)) {
            found.push_back(&known.peer_);
        }
    }
    return found;
}

std::vector<const peer*> peer_table::live_local_peers(time_point now) const
{
    auto found = live(now);
    std::erase_if(found, [&](const peer* other) { return other->data_centre_ != self_.data_centre_; });
    return found;
}

std::vector<const peer*> peer_table::reachable_local_peers(time_point now) const
{
    std::vector<const peer*> found;
    for (const auto& [unused, known] : entries_) {
        if (known.peer_.data_centre_ == self_.data_centre_ && is_reachable(known, now)) {
            found.push_back(&known.peer_);
        }
    }
    return found;
}

std::vector<const peer*> peer_table::reachable_peers(time_point now) const
{
    std::vector<const peer*> found;
    for (const auto& [unused, known] : entries_) {
        if (is_reachable(known, now)) {
            found.push_back(&known.peer_);
        }
    }
    return found;
}

std::size_t peer_table::known_in_data_centre() const
{
    return 1 +
           static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [&](const auto& item) {
               return item.second.peer_.data_centre_ == self_.data_centre_ && !item.second.peer_.stopping_;
           }));
}

bool peer_table::has_local_majority(time_point now) const
{
    return 2 * (live_local_peers(now).size() + 1) > known_in_data_centre();
}

std::vector<const peer*> peer_table::ranked(const std::string& data_centre, const std::string& duty,
                                            time_point now) const
{
    auto found = live(now);
    if (!self_.stopping_) {
        found.push_back(&self_);
    }
    std::erase_if(found, [&](const peer* other) { return other->data_centre_ != data_centre; });
    std::vector<std::pair<std::pair<std::uint32_t, std::uint64_t>, const peer*>> order;
    order.reserve(found.size());
    for (const auto* other : found) {
        order.push_back({{other->capacity_, stable_hash(duty + "\n" + other->name_)}, other});
    }
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t i = 0; i < order.size(); ++i) {
        found[i] = order[i].second;
    }
    return found;
}

std::vector<std::string> peer_table::data_centres(time_point now) const
{
    std::set<std::string> names{self_.data_centre_};
    for (const auto* other : live(now)) {
        names.insert(other->data_centre_);
    }
    return {names.begin(), names.end()};
}

std::vector<peer_table::sampled_peer> peer_table::sample(std::size_t count, random_port& random,
                                                         time_point now) const
{
    std::vector<sampled_peer> sampled;
    if (entries_.empty()) {
        return sampled;
    }
    auto next = entries_.begin();
    std::advance(next, static_cast<std::ptrdiff_t>(random_below(random, entries_.size())));
    for (std::size_t i = 0; i < std::min(count, entries_.size()); ++i) {
        sampled.push_back({&next->second.peer_, now - next->second.last_heartbeat_});
        ++next;
        next = next == entries_.end() ? entries_.begin() : next;
    }
    return sampled;
}

} // namespace anvilpost
