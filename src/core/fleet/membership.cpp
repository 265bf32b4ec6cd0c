// Membership table: a member is alive while its heartbeat counter keeps growing; nodes for a task are chosen
// by rendezvous hashing, which gives the same result on every node with the same table.
#include "core/fleet/membership.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>

namespace anvilpost {
namespace {

std::uint64_t rank(const std::string& subject, const std::string& name)
{
    return stable_hash(subject + "\n" + name);
}

/// Returns the `count` members that rank highest for `subject`.
std::vector<member> highest_ranked(std::vector<member> members, const std::string& subject, std::size_t count)
{
    std::sort(members.begin(), members.end(), [&](const member& a, const member& b) {
        return rank(subject, a.name_) > rank(subject, b.name_);
    });
    members.resize(std::min(members.size(), count));
    return members;
}

} // namespace

bool membership::merge_report(const member& received, time_point now)
{
    if (received.name_ == self_.name_) {
        return false;
    }
    const auto found = entries_.find(received.name_);
    if (found == entries_.end()) {
        entries_[received.name_] = {received, now};
        return true;
    }
    auto& known = found->second;
    const bool newer = received.incarnation_ > known.member_.incarnation_ ||
                       (received.incarnation_ == known.member_.incarnation_ &&
                        received.heartbeat_ > known.member_.heartbeat_);
    if (!newer) {
        return false;
    }
    known = {received, now};
    return true;
}

void membership::remove_expired(time_point now)
{
    std::erase_if(entries_, [&](const auto& item) {
        return now - item.second.last_heartbeat_ > settings_.removal_timeout_;
    });
}

bool membership::alive(const std::string& name, time_point now) const
{
    const auto found = entries_.find(name);
    return found != entries_.end() && !found->second.member_.stopping_ &&
           now - found->second.last_heartbeat_ <= settings_.heartbeat_timeout_;
}

std::vector<member> membership::live(time_point now) const
{
    std::vector<member> alive_members;
    for (const auto& [name, item] : entries_) {
        if (alive(name, now)) {
            alive_members.push_back(item.member_);
        }
    }
    return alive_members;
}

std::vector<member> membership::known() const
{
    std::vector<member> all;
    for (const auto& [unused, item] : entries_) {
        all.push_back(item.member_);
    }
    return all;
}

std::vector<member> membership::wanted_links(time_point now) const
{
    std::map<std::string, std::vector<member>> by_data_centre;
    for (auto& candidate : live(now)) {
        by_data_centre[candidate.data_centre_].push_back(std::move(candidate));
    }
    std::vector<member> wanted;
    for (auto& [data_centre, members] : by_data_centre) {
        const bool own = data_centre == self_.data_centre_;
        const auto count = own ? settings_.links_in_data_centre_ : settings_.links_per_other_data_centre_;
        for (auto& chosen : highest_ranked(std::move(members), self_.name_, count)) {
            wanted.push_back(std::move(chosen));
        }
    }
    return wanted;
}

bool membership::should_watch_store(time_point now) const
{
    std::size_t higher_ranked = 0;
    for (const auto& other : live(now)) {
        const bool same_data_centre = other.data_centre_ == self_.data_centre_;
        higher_ranked += same_data_centre && rank("watch", other.name_) > rank("watch", self_.name_) ? 1 : 0;
    }
    return higher_ranked < settings_.watchers_per_data_centre_;
}

bool membership::responsible_for(const std::string& subject, time_point now) const
{
    const auto others = live(now);
    return std::none_of(others.begin(), others.end(), [&](const member& other) {
        return rank(subject, other.name_) > rank(subject, self_.name_);
    });
}

std::vector<member> membership::digest(std::size_t others, const std::string& receiver,
                                       random_port& random) const
{
    std::vector<member> entries{self_};
    auto all = known();
    std::erase_if(all, [&](const member& other) { return other.name_ == receiver; });
    while (others-- > 0 && !all.empty()) {
        const auto index = random_below(random, all.size());
        entries.push_back(std::move(all[index]));
        all.erase(all.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return entries;
}

} // namespace anvilpost
