// Choice of an upstream among those with room, and the upkeep of a service's trackers.
#include "core/calls/service_state.h"

#include <algorithm>

namespace anvilpost {
namespace {

constexpr duration latency_before_first_answer = std::chrono::milliseconds(10);
constexpr int failure_penalty_factor = 5;

} // namespace

service_state::service_state(std::string name, const service_config& config, time_point now)
    : name_(std::move(name)), config_(config), picker_(make_picker(config.policy_.picker_))
{
    configure(config, now);
}

void service_state::configure(const service_config& config, time_point now)
{
    config_ = config;
    picker_ = make_picker(config.policy_.picker_);
    for (const auto& [name, upstream] : config.upstreams_) {
        const auto found = upstreams_.find(name);
        if (found == upstreams_.end()) {
            upstreams_.emplace(name, std::make_unique<upstream_tracker>(name, upstream, now));
        }
        else {
            found->second->configure(upstream, now);
        }
    }
    for (const auto& [name, tracker] : upstreams_) {
        if (!config.upstreams_.contains(name)) {
            tracker->mark_unlisted();
        }
    }
    drop_finished_upstreams();
}

void service_state::drop_finished_upstreams()
{
    std::erase_if(upstreams_, [](const auto& entry) {
        return !entry.second->listed() && entry.second->in_flight() == 0;
    });
}

void service_state::unlist_all()
{
    for (const auto& [unused, tracker] : upstreams_) {
        tracker->mark_unlisted();
    }
}

bool service_state::has_room(const upstream_tracker& upstream) const
{
    return upstream.receives_calls() &&
           upstream.in_flight() < std::min(config_.policy_.slots_, connection_limit());
}

int service_state::connection_limit() const
{
    return std::max(1, config_.policy_.worker_connections_ / static_cast<int>(nodes_));
}

bool service_state::every_receiver_ejected(time_point now) const
{
    return std::none_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        return entry.second->receives_calls() && !entry.second->ejected(now);
    });
}

upstream_tracker* service_state::choose(const std::set<std::string>& tried, random_port& random,
                                        time_point now)
{
    const bool try_ejected = every_receiver_ejected(now);
    std::vector<const upstream_tracker*> candidates;
    candidates.reserve(upstreams_.size());
    for (const auto& [name, tracker] : upstreams_) {
        const bool usable = !tracker->ejected(now) || (try_ejected && tracker->in_flight() == 0);
        if (usable && has_room(*tracker) && !tried.contains(name)) {
            candidates.push_back(tracker.get());
        }
    }
    if (candidates.empty()) {
        return nullptr;
    }
    const auto typical = latencies_.empty() ? latency_before_first_answer : latencies_.median();
    const pick_context context{now, typical, config_.policy_.slots_};
    const std::size_t chosen =
        std::visit([&](const auto& rule) { return rule.pick(candidates, context, random); }, picker_);
    return find(candidates[chosen]->name());
}

bool service_state::has_receiver(const std::set<std::string>& tried) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&](const auto& entry) {
        return entry.second->receives_calls() && !tried.contains(entry.first);
    });
}

upstream_tracker* service_state::find(const std::string& upstream)
{
    const auto found = upstreams_.find(upstream);
    return found == upstreams_.end() ? nullptr : found->second.get();
}

duration service_state::expected_queue_wait() const
{
    const auto receivers = std::count_if(upstreams_.begin(), upstreams_.end(),
                                         [](const auto& entry) { return entry.second->receives_calls(); });
    const auto total_slots = static_cast<std::int64_t>(receivers) * config_.policy_.slots_;
    if (total_slots == 0 || latencies_.empty()) {
        return {};
    }
    return latencies_.median() * static_cast<std::int64_t>(waiting_.size()) / total_slots;
}

duration service_state::failure_penalty() const
{
    const auto typical = latencies_.empty() ? latency_before_first_answer : latencies_.p95();
    return typical * failure_penalty_factor;
}

} // namespace anvilpost
