// Decides when this node may send a health probe and to which upstream. Each node owns a fixed share of a
// service's probe budget, and its probes are spaced so that those of all nodes together stay within the
// budget in every window, even when nodes are paused, partitioned or replaced.
// docs/design/measuring.md compares the alternatives; model/probes.pml is a model of this one.
#pragma once

#include "core/calls/service_state.h"
#include "core/configuration/configuration.h"
#include "core/fleet/membership.h"

#include <map>
#include <optional>
#include <string>

namespace anvilpost {

/// Length of the windows in which the budget holds: 60 s, or longer when the budget is so small that a
/// node's share would be less than two probes in 60 s. `probes_per_second` is the budget of a service over
/// all nodes and must be positive; `max_nodes` is the number of nodes that share it.
duration probe_window(double probes_per_second, int max_nodes);

/// Shortest time between two probes of one service by one node, such that no window holds more probes than
/// the node's share. Returns nothing when the budget is 0.
std::optional<duration> probe_interval(double probes_per_second, int max_nodes);

/// A probe to send: an HTTP request for `path_` to `ip_` and `port_`, with the Host header `host_`.
struct probe_request {
    send_permit permit_;
    std::string service_;
    std::string upstream_;
    std::string ip_;
    std::uint16_t port_ = 0;
    std::string host_;
    std::string path_;
};

/// Invariants: each service has at most one probe in progress; the interval before the next probe starts
/// when the last one ends, so that a node paused between deciding and sending cannot send two probes close
/// together; the first interval starts when the node starts, so that a replacement node does not probe at
/// once.
class probe_scheduler {
public:
    explicit probe_scheduler(time_point start) : start_(start) {}

    /// Returns the probe that is due now for `service`, if any, and counts it as sent. Of the upstreams that
    /// need a probe and that this node is responsible for, it picks the one that answered longest ago.
    std::optional<probe_request> next(const service_state& service, const fleet_config& fleet,
                                      const membership& members, time_point now);

    /// Must be called when the probe of `service` has ended, with or without a response.
    void on_finished(const std::string& service, time_point now);

    /// Number of probes sent since the node started, by service.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& sent() const { return sent_; }

private:
    time_point start_;
    struct probe_timing {
        time_point last_finished_at_{};
        bool in_progress_ = false;
    };
    std::map<std::string, probe_timing> timings_;
    std::map<std::string, std::uint64_t> sent_;
};

} // namespace anvilpost
