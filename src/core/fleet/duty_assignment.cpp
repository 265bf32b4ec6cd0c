// Computes this node's duties from the ranking of nodes in the table of peers.
#include "core/fleet/duty_assignment.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>

namespace anvilpost {
namespace {

/// Salts of the rendezvous hashing. All nodes must use the same ones, or they assign duties differently.
constexpr const char* leader_duty = "lead";
constexpr const char* prober_duty = "probe";

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
    const auto position = position_of(peers_.ranked(self.data_centre_, leader_duty, now));
    leads_ = position == 0 && !self.stopping_;
    const auto own = std::find(data_centres_.begin(), data_centres_.end(), self.data_centre_);
    store_rank_ =
        leads_ ? static_cast<std::size_t>(own - data_centres_.begin()) : data_centres_.size() + position;
    probers_.clear();
    const auto order = peers_.ranked(self.data_centre_, prober_duty, now);
    const auto count = order.size() <= small_data_centre_nodes ? order.size() : probers_in_large_data_centre;
    for (std::size_t i = 0; i < count; ++i) {
        probers_.push_back(order[i]->name_);
    }
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

bool duty_assignment::probes(const std::string& upstream, const std::string& data_centre) const
{
    if (data_centres_.empty()) {
        return false;
    }
    std::string responsible = data_centre;
    if (std::find(data_centres_.begin(), data_centres_.end(), data_centre) == data_centres_.end()) {
        // No live node in that data centre: another one probes its upstreams.
        responsible = data_centres_[stable_hash(upstream) % data_centres_.size()];
    }
    if (responsible != peers_.self().data_centre_ || probers_.empty()) {
        return false;
    }
    const auto best =
        std::max_element(probers_.begin(), probers_.end(), [&](const std::string& a, const std::string& b) {
            return stable_hash(upstream, stable_hash(a)) < stable_hash(upstream, stable_hash(b));
        });
    return *best == peers_.self().name_;
}

} // namespace anvilpost
