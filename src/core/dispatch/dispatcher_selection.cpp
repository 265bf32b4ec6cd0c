// Ranks the nodes that grant slots, by capacity and rendezvous hashing.
#include "core/dispatch/dispatcher_selection.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <set>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Salt of the rendezvous hashing. All nodes must use the same one.
const std::string dispatcher_duty = "dispatch ";

/// Dispatch ends below this share of the nodes from which it is on.
constexpr double off_share = 0.8;

/// The number of nodes must speak for the other state for this long. A node that has just started knows few
/// others; one that a network partition separates should go on for a while.
constexpr duration on_delay = 1s;
constexpr duration off_delay = 5s;

/// Nodes that are kept per service: the preferred one, the next, and one more while one of them is silent.
constexpr std::size_t kept_ranks = 3;

/// A service leaves out the preferred nodes of earlier services, unless its next choice has less than this
/// share of the capacity.
constexpr double min_capacity_share = 0.5;

} // namespace

void dispatcher_selection::update_switch(time_point now)
{
    const auto known = static_cast<double>(peers_.size() + 1);
    const auto limit = static_cast<double>(from_nodes_) * (on_ ? off_share : 1.0);
    const bool wanted = known >= limit;
    if (wanted == on_) {
        contrary_since_ = {};
        return;
    }
    contrary_since_ = contrary_since_ == time_point{} ? now : contrary_since_;
    // A fleet that starts passes through all sizes; too few nodes may be known after a network partition.
    if (now - contrary_since_ >= (on_ ? off_delay : on_delay)) {
        on_ = wanted;
        contrary_since_ = {};
    }
}

/// Nodes that may have died are ranked too: heartbeats of other data centres arrive seconds apart in a large
/// fleet, so that nodes would disagree on who is alive. Those that ask notice a silent dispatcher soonest.
std::vector<const peer*> dispatcher_selection::rank(const std::string& service) const
{
    auto found = peers_.known();
    found.push_back(&peers_.self());
    std::erase_if(found, [](const peer* node) {
        return (node->capabilities_ & peer_capability::dispatch) == 0 || node->stopping_ || node->cut_off_;
    });
    const auto place = [&](const peer* node) {
        return std::pair(node->capacity_, stable_hash(dispatcher_duty + service + "\n" + node->name_));
    };
    std::sort(found.begin(), found.end(), [&](const peer* a, const peer* b) { return place(a) > place(b); });
    return found;
}

void dispatcher_selection::update(const std::vector<std::string>& services, time_point now)
{
    ranked_.clear();
    if (from_nodes_ == 0) {
        return;
    }
    update_switch(now);
    if (!on_) {
        return;
    }
    std::set<std::string> taken;
    for (const auto& service : services) {
        auto order = rank(service);
        if (order.empty()) {
            return;
        }
        const double least = order.front()->capacity_ * min_capacity_share;
        std::stable_partition(order.begin(), order.end(), [&](const peer* node) {
            return !taken.contains(node->name_) && node->capacity_ >= least;
        });
        taken.insert(order.front()->name_);
        auto& names = ranked_[service];
        for (std::size_t i = 0; i < std::min(kept_ranks, order.size()); ++i) {
            names.push_back(order[i]->name_);
        }
    }
}

const std::vector<std::string>& dispatcher_selection::ranked(const std::string& service) const
{
    static const std::vector<std::string> none;
    const auto found = ranked_.find(service);
    return found == ranked_.end() ? none : found->second;
}

} // namespace anvilpost
