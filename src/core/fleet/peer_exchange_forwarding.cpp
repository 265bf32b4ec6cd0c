// Choice of the node to which a call is forwarded, from what nodes state of the upstreams that they reach and
// from failed connections to them.
#include "core/fleet/peer_exchange.h"

#include <algorithm>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// A data centre to which a connection failed is avoided for this long. Its nodes may still be known as alive
/// through a third data centre.
constexpr duration unreached_data_centre_retention = 5s;

std::uint32_t service_key(const std::string& service)
{
    return upstream_key(service, "");
}

} // namespace

void peer_exchange::add_unreached_services(peer_message& message, time_point now) const
{
    for (const auto& [name, service] : ports_.engine_.services()) {
        if (service.reaches_none(now)) {
            message.unreached_.push_back(service_key(name));
        }
    }
}

void peer_exchange::record_unreached_peer(const std::string& name)
{
    const auto* other = peers_.find(name);
    if (other != nullptr && other->data_centre_ != peers_.self().data_centre_) {
        unreached_data_centres_[other->data_centre_] = ports_.clock_.now();
    }
}

std::optional<serving_peer> peer_exchange::choose_serving_peer(const std::string& service,
                                                               const std::set<std::string>& tried)
{
    const auto now = ports_.clock_.now();
    const auto key = service_key(service);
    auto candidates = peers_.live(now);
    std::erase_if(candidates, [&](const peer* other) {
        const auto last = last_messages_.find(other->name_);
        const bool reaches_none = last != last_messages_.end() && last->second.unreached_.contains(key);
        return other->cut_off_ || other->caller_port_ == 0 || reaches_none || tried.contains(other->name_);
    });
    auto local = candidates;
    std::erase_if(local,
                  [&](const peer* other) { return other->data_centre_ != peers_.self().data_centre_; });
    if (2 * local.size() >= peers_.known_in_data_centre()) {
        candidates = std::move(local);
    }
    std::erase_if(unreached_data_centres_,
                  [&](const auto& item) { return now - item.second > unreached_data_centre_retention; });
    auto reached = candidates;
    std::erase_if(reached,
                  [&](const peer* other) { return unreached_data_centres_.contains(other->data_centre_); });
    if (!reached.empty()) {
        candidates = std::move(reached);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto* chosen = candidates[random_below(ports_.random_, candidates.size())];
    return serving_peer{chosen->name_, chosen->ip_, chosen->caller_port_};
}

} // namespace anvilpost
