// Computes this node's duties from the ranking of nodes in the table of peers.
#include "core/fleet/duty_assignment.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>

namespace anvilpost {
namespace {

/// Salts of the rendezvous hashing. All nodes must use the same ones, or they assign duties differently.
constexpr const char* leader_duty = "lead";
constexpr const char* prober_duty = "probe";
const std::string sharing_duty = "share ";

/// Nodes that try to read the store at the same time, for each one that is known to be refused. With many
/// refused ones, the next try must reach one of the few others.
constexpr std::size_t tries_per_refused_node = 8;

/// Leaves out the nodes that reach no upstream, unless none is left then.
std::vector<const peer*> reaching_upstreams(std::vector<const peer*> nodes)
{
    const bool all_cut_off =
        std::all_of(nodes.begin(), nodes.end(), [](const peer* node) { return node->cut_off_; });
    if (!all_cut_off) {
        std::erase_if(nodes, [](const peer* node) { return node->cut_off_; });
    }
    return nodes;
}

} // namespace

void duty_assignment::update(time_point now)
{
    const auto& self = peers_.self();
    data_centres_ = peers_.data_centres(now);
    std::sort(data_centres_.begin(), data_centres_.end(), [](const std::string& a, const std::string& b) {
        return stable_hash(a, stable_hash(leader_duty)) > stable_hash(b, stable_hash(leader_duty));
    });
    const auto position_of = [&](const std::vector<const peer*>& order) {
        const auto found = std::find_if(order.begin(), order.end(),
                                        [&](const peer* other) { return other->name_ == self.name_; });
        return static_cast<std::size_t>(found - order.begin());
    };
    const auto leaders = peers_.ranked(self.data_centre_, leader_duty, now);
    const auto position = position_of(leaders);
    leads_ = position == 0 && !self.stopping_;
    if (leads_) {
        const auto own = std::find(data_centres_.begin(), data_centres_.end(), self.data_centre_);
        store_rank_ = static_cast<std::size_t>(
            std::count_if(data_centres_.begin(), own, [&](const std::string& data_centre) {
                const auto* leader = peers_.find(leader_of(data_centre, now));
                return leader == nullptr || leader->store_access_ != store_access::refuses;
            }));
        if (self.store_access_ == store_access::refuses) {
            store_rank_ = 0; // Goes on trying, since others watch in its place until it is answered.
        }
    }
    else {
        store_rank_ = replaces_refused_leader(leaders) ? 0 : data_centres_.size() + position;
    }
    probers_.clear();
    const auto order = reaching_upstreams(peers_.ranked(self.data_centre_, prober_duty, now));
    const auto count = order.size() <= small_data_centre_nodes ? order.size() : probers_in_large_data_centre;
    for (std::size_t i = 0; i < count; ++i) {
        probers_.push_back(order[i]->name_);
    }
}

bool duty_assignment::replaces_refused_leader(const std::vector<const peer*>& order) const
{
    if (order.empty() || order.front()->store_access_ != store_access::refuses || peers_.self().stopping_) {
        return false;
    }
    const auto answered = std::find_if(order.begin(), order.end(), [](const peer* each) {
        return each->store_access_ == store_access::answers;
    });
    if (answered != order.end()) {
        return (*answered)->name_ == peers_.self().name_;
    }
    const auto refused = std::count_if(order.begin(), order.end(), [](const peer* each) {
        return each->store_access_ == store_access::refuses;
    });
    auto tries_left = static_cast<std::size_t>(refused) * tries_per_refused_node;
    for (const auto* each : order) {
        if (each->store_access_ != store_access::unknown) {
            continue;
        }
        if (tries_left == 0) {
            return false;
        }
        --tries_left;
        if (each->name_ == peers_.self().name_) {
            return true;
        }
    }
    return false;
}

std::string duty_assignment::leader_of(const std::string& data_centre, time_point now) const
{
    const auto order = peers_.ranked(data_centre, leader_duty, now);
    return order.empty() ? "" : order.front()->name_;
}

bool duty_assignment::is_prober() const
{
    return std::find(probers_.begin(), probers_.end(), peers_.self().name_) != probers_.end();
}

std::string duty_assignment::responsible_data_centre(const std::string& upstream,
                                                     const std::string& data_centre) const
{
    if (data_centres_.empty()) {
        return "";
    }
    const bool has_nodes =
        std::find(data_centres_.begin(), data_centres_.end(), data_centre) != data_centres_.end();
    return has_nodes ? data_centre : data_centres_[stable_hash(upstream) % data_centres_.size()];
}

double duty_assignment::share_of(const std::string& upstream, const std::string& data_centre,
                                 std::size_t sharers, time_point now) const
{
    const auto& self = peers_.self();
    if (responsible_data_centre(upstream, data_centre) != self.data_centre_) {
        return 0;
    }
    if (!peers_.has_local_majority(now)) {
        return 1.0 / static_cast<double>(peers_.known_in_data_centre());
    }
    const auto order = reaching_upstreams(peers_.ranked(self.data_centre_, sharing_duty + upstream, now));
    const auto count = std::min(sharers, order.size());
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
    const bool chosen =
        std::any_of(order.begin(), end, [&](const peer* other) { return other->name_ == self.name_; });
    return chosen ? 1.0 / static_cast<double>(count) : 0;
}

bool duty_assignment::probes(const std::string& upstream, const std::string& data_centre) const
{
    if (probers_.empty() || responsible_data_centre(upstream, data_centre) != peers_.self().data_centre_) {
        return false;
    }
    const auto best =
        std::max_element(probers_.begin(), probers_.end(), [&](const std::string& a, const std::string& b) {
            return stable_hash(upstream, stable_hash(a)) < stable_hash(upstream, stable_hash(b));
        });
    return *best == peers_.self().name_;
}

} // namespace anvilpost
