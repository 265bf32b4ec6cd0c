// When this node may probe, and which upstream. Each node owns a fixed share of a service's budget,
// spaced so that the probes of all nodes stay within the budget in every window, whatever nodes pause,
// part or are replaced. docs/design/measuring.md compares the ways; model/probes.pml checks this one.
#pragma once

#include "core/calls/service_state.h"
#include "core/configuration/configuration.h"
#include "core/fleet/membership.h"

#include <map>
#include <optional>
#include <string>

namespace anvilpost {

/// Length of the windows in which the budget holds: 60 s, or longer when the budget is so small that a
/// node's share comes to less than two probes in 60 s.
duration probe_window(double probes_per_second, int max_nodes);

/// Shortest time between two probes of one node, so that any window holds at most its share.
/// Returns nothing when the budget is 0.
std::optional<duration> probe_interval(double probes_per_second, int max_nodes);

struct probe_order {
    std::string service_;
    std::string upstream_;
    std::string ip_;
    std::uint16_t port_ = 0;
    std::string host_;
    std::string path_;
};

/// Invariants: a service has at most one probe under way; the pause before the next one starts at the
/// end of the last one, so that a node paused between decision and probe cannot send two close together;
/// the first pause starts at the node's start, so that a replaced node does not probe at once.
class probe_scheduler {
public:
    explicit probe_scheduler(time_point start) : start_(start) {}

    /// Returns the probe of a service that is due now, if any, and counts it as sent.
    std::optional<probe_order> next(const service_state& service, const fleet_config& fleet,
                                    const membership& members, time_point now);

    /// The probe of a service is over, with or without an answer.
    void on_finished(const std::string& service, time_point now);

    /// Probes sent since the start, per service.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& sent() const { return sent_; }

private:
    time_point start_;
    struct pace {
        time_point last_end_{};
        bool under_way_ = false;
    };
    std::map<std::string, pace> paces_;
    std::map<std::string, std::uint64_t> sent_;
};

} // namespace anvilpost
