// Implements the spacing of probes and the choice of the upstream to probe.
#include "core/upstreams/probe_scheduler.h"

#include <algorithm>
#include <cmath>

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr duration min_window = 60s;
constexpr double min_node_probes_per_window = 2.0;
constexpr duration idle_time_before_probe = 10s;
constexpr double microseconds_per_second = 1'000'000.0;

/// Calls already show the state of a busy upstream; only idle and failing upstreams need a probe.
bool needs_probe(const upstream_tracker& upstream, time_point now)
{
    const bool idle = now - upstream.last_response() > idle_time_before_probe;
    return upstream.in_flight() == 0 && (idle || upstream.consecutive_failures() > 0);
}

} // namespace

duration probe_window(double probes_per_second, int max_nodes)
{
    const double seconds = min_node_probes_per_window * max_nodes / probes_per_second;
    return std::max(min_window,
                    duration(static_cast<duration::rep>(std::ceil(seconds * microseconds_per_second))));
}

// A window of length W holds at most floor(W / interval) + 1 probes of one node. With
// interval = W / (W * share - 1), where share is in probes per second, that is at most W * share.
std::optional<duration> probe_interval(double probes_per_second, int max_nodes)
{
    if (probes_per_second <= 0) {
        return std::nullopt;
    }
    const double window_s =
        static_cast<double>(probe_window(probes_per_second, max_nodes).count()) / microseconds_per_second;
    const double share = probes_per_second / max_nodes;
    const double interval_s = window_s / (window_s * share - 1);
    return duration(static_cast<duration::rep>(std::ceil(interval_s * microseconds_per_second)));
}

void probe_scheduler::on_finished(const std::string& service, time_point now)
{
    timings_[service] = {now, false};
}

std::optional<probe_request> probe_scheduler::next(const service_state& service, const fleet_config& fleet,
                                                   const membership& members, time_point now)
{
    const auto& policy = service.config().policy_;
    const auto interval = probe_interval(policy.probes_per_second_, fleet.max_nodes_);
    auto& timing = timings_.try_emplace(service.name(), probe_timing{start_, false}).first->second;
    if (!interval || timing.in_progress_ || now - timing.last_finished_at_ < *interval) {
        return std::nullopt;
    }
    // With more nodes than the budget is divided among, the shares would add up to more than the budget.
    if (members.live(now).size() + 1 > static_cast<std::size_t>(fleet.max_nodes_)) {
        return std::nullopt;
    }
    upstream_tracker* chosen = nullptr;
    for (const auto& [name, upstream] : service.upstreams()) {
        if (!needs_probe(*upstream, now) || upstream->gate().obstacle(send_purpose::health_probe, now) ||
            !members.responsible_for(service.name() + "/" + name, now)) {
            continue;
        }
        if (chosen == nullptr || upstream->last_response() < chosen->last_response()) {
            chosen = upstream.get();
        }
    }
    const auto permit =
        chosen == nullptr ? std::nullopt : chosen->gate().take(send_purpose::health_probe, now);
    if (!permit) {
        return std::nullopt;
    }
    timing.in_progress_ = true;
    ++sent_[service.name()];
    const auto& hosts = service.config().hosts_;
    return probe_request{*permit,
                         service.name(),
                         chosen->name(),
                         chosen->config().ip_,
                         chosen->config().port_,
                         hosts.empty() ? "" : hosts.front(),
                         policy.health_path_};
}

} // namespace anvilpost
