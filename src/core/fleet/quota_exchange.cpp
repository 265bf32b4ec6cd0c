// Connects the quota client and coordinator of a node to the datagrams and the peer table.
#include "core/fleet/quota_exchange.h"

#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <map>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Period at which the candidates for the coordinator are read from the peer table.
constexpr duration learn_period = 200ms;

/// They are read earlier for a sender that is not known, but not more often than this.
constexpr duration min_learn_period = 20ms;

/// Nodes of each other data centre that may pass messages on.
constexpr int relays_per_data_centre = 2;

node_identity short_identity_of(const peer& node)
{
    return static_cast<node_identity>(identity_of(node));
}

} // namespace

quota_exchange::quota_exchange(const clock_port& clock, datagram_port& datagrams, const peer_table& peers)
    : clock_(clock), datagrams_(datagrams), peers_(peers), self_(short_identity_of(peers.self())),
      coordinator_(clock, self_, size_), client_(clock, self_, peers.self().name_, size_)
{
    client_.send_ = [this](const quota_request& request) { send_request(request); };
    client_.on_coordinator_changed_ = [this](std::optional<node_identity>) {
        if (on_coordinator_changed_) {
            on_coordinator_changed_(coordinator_name());
        }
    };
}

void quota_exchange::on_configuration(const configuration& effective)
{
    has_limits_ = effective.organisations_ &&
                  std::any_of(effective.organisations_->begin(), effective.organisations_->end(),
                              [](const auto& item) { return item.second.rate_per_second_ > 0; });
    coordinator_.apply(effective);
    client_.apply(effective);
}

void quota_exchange::learn_peers(time_point now)
{
    learnt_at_ = now;
    size_.observe(static_cast<int>(peers_.reachable_peers(now).size()) + 1, now);
    // Heartbeats of other data centres arrive seconds apart in a large fleet, so nodes seem lost at times.
    // The client finds out by itself who answers.
    auto nodes = peers_.known();
    nodes.push_back(&peers_.self());
    names_.clear();
    struct candidate {
        std::uint32_t capacity_ = 0;
        std::uint64_t rank_ = 0;
        node_identity identity_ = 0;
        const peer* node_ = nullptr;
    };
    std::vector<candidate> candidates;
    for (const auto* node : nodes) {
        const auto identity = short_identity_of(*node);
        names_[identity] = node->name_;
        const bool is_self = node == &peers_.self();
        // A node that stops is answered to the end, but others do not delegate to it any more.
        const bool has_quotas = (node->capabilities_ & peer_capability::quotas) != 0;
        if (is_self || (has_quotas && !node->stopping_)) {
            const auto capacity = node->stopping_ ? 0 : node->capacity_;
            candidates.push_back({capacity, stable_hash("quota\n" + node->name_), identity, node});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return std::pair(a.capacity_, a.rank_) > std::pair(b.capacity_, b.rank_);
    });
    std::vector<node_identity> ranked;
    ranked.reserve(candidates.size());
    std::vector<node_identity> relays;
    std::map<std::string, int> relays_of;
    for (const auto& each : candidates) {
        ranked.push_back(each.identity_);
        const auto& data_centre = each.node_->data_centre_;
        if (data_centre != peers_.self().data_centre_ && ++relays_of[data_centre] <= relays_per_data_centre) {
            relays.push_back(each.identity_);
        }
    }
    client_.set_relays(std::move(relays));
    client_.set_candidates(std::move(ranked));
}

void quota_exchange::on_tick()
{
    const auto now = clock_.now();
    if (now - learnt_at_ >= learn_period) {
        learn_peers(now);
    }
    coordinator_.on_tick();
    if (has_limits_) {
        client_.on_tick();
    }
}

void quota_exchange::on_message(const peer_message& message)
{
    ++counters_.messages_received_;
    const auto& request = message.quota_request_;
    const auto& answer = message.quota_answer_;
    if (request && request->to_ == self_) {
        if (const auto decided = coordinator_.on_request(*request)) {
            send_answer(*decided);
        }
    }
    else if (request && request->via_ == self_) {
        pass_on(*request);
    }
    if (answer && answer->to_ == self_) {
        client_.on_answer(*answer);
    }
    else if (answer && answer->via_ == self_) {
        pass_on(*answer);
    }
}

template <class Message>
void quota_exchange::pass_on(const Message& message)
{
    ++counters_.passed_on_;
    send(message.to_, encode(message));
}

void quota_exchange::send_request(const quota_request& request)
{
    if (request.to_ != self_) {
        send(request.via_ != 0 ? request.via_ : request.to_, encode(request));
    }
    else if (const auto answer = coordinator_.on_request(request)) {
        client_.on_answer(*answer);
    }
}

void quota_exchange::send_answer(const quota_answer& answer)
{
    send(answer.via_ != 0 ? answer.via_ : answer.to_, encode(answer));
}

void quota_exchange::send(node_identity to, const std::string& bytes)
{
    const auto now = clock_.now();
    if (!names_.contains(to) && now - learnt_at_ >= min_learn_period) {
        learn_peers(now);
    }
    const auto* node = peers_.find(name_of_node(to));
    if (node == nullptr) {
        ++counters_.unknown_recipients_;
        return;
    }
    ++counters_.messages_sent_;
    counters_.bytes_sent_ += bytes.size();
    datagrams_.send(node->ip_, node->port_, bytes);
}

std::string quota_exchange::name_of_node(node_identity node) const
{
    const auto found = names_.find(node);
    return found == names_.end() ? "" : found->second;
}

organisation_usages quota_exchange::usages() const
{
    auto all = client_.usages();
    if (client_.coordinator() == self_) {
        for (auto& [name, usage] : all) {
            usage.used_ = coordinator_.used(name);
        }
    }
    return all;
}

std::string quota_exchange::coordinator_name() const
{
    const auto current = client_.coordinator();
    return current ? name_of_node(*current) : "";
}

} // namespace anvilpost
