// Sends periodic HTTP health probes to upstreams over persistent connections and reports for each upstream
// whether it answered, whether it is healthy, and its load.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/header_names.h"
#include "adapters/http/message_reader.h"

#include <event2/bufferevent.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace anvilpost {

/// An upstream that this node probes.
struct probe_target {
    send_permit permit_;
    std::string service_;
    std::string upstream_;
    std::string ip_;
    std::uint16_t port_ = 0;
    std::string path_;
    duration period_{}; ///< From the start of one probe to the start of the next.

    bool operator==(const probe_target&) const = default;
};

/// Result of one probe.
struct probe_result {
    bool answered_ = false;
    bool healthy_ = false;
    bool on_new_connection_ = false; ///< It was the first probe on its connection.
    self_report self_;
};

/// Probes a set of targets. Invariants: a target has at most one probe in flight; the period is measured
/// between the starts of probes, so that a target receives at most one probe per period.
class health_prober {
public:
    using probe_result_callback = std::function<void(const probe_target&, const probe_result&)>;

    health_prober(event_loop& loop, const clock_port& clock, const header_names& names,
                  probe_result_callback on_probe_result);
    health_prober(const health_prober&) = delete;
    health_prober& operator=(const health_prober&) = delete;
    ~health_prober();

    /// Replaces the targets; targets that are unchanged keep their connection, timer and probe in flight.
    void set_targets(const std::vector<probe_target>& targets);

    [[nodiscard]] std::uint64_t sent() const { return sent_; }
    [[nodiscard]] std::uint64_t unanswered() const { return unanswered_; }
    [[nodiscard]] std::size_t targets() const { return probes_.size(); }

private:
    struct probe {
        health_prober& owner_;
        probe_target target_;
        bufferevent* stream_ = nullptr;
        std::unique_ptr<message_reader> reader_{};
        std::unique_ptr<timer> timer_{};
        time_point started_{};
        bool in_flight_ = false;
        bool answered_before_ = false; ///< On this connection.
    };

    void start(probe& next);
    void on_timer(probe& due);
    void on_input(probe& from);
    void finish(probe& from, const probe_result& result, bool keep_connection);
    void disconnect(probe& from);

    event_loop& loop_;
    const clock_port& clock_;
    header_names names_;
    probe_result_callback on_probe_result_;
    std::map<std::string, std::unique_ptr<probe>> probes_; ///< By "service/upstream".
    std::uint64_t sent_ = 0;
    std::uint64_t unanswered_ = 0;
};

} // namespace anvilpost
