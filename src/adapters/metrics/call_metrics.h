// Call statistics of one node (latency, status, attempts, problems) for the metrics endpoint, on
// Boost.Accumulators.
#pragma once

#include "ports/call_observer.h"
#include "vocabulary/problem.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <map>
#include <string>

namespace anvilpost {

/// Statistics per service since the node started, with one counter per kind of problem.
class call_metrics : public call_observer {
public:
    void on_call_finished(const call_record& record) override;
    void on_decision(const call_decision& decision) override;

    /// Returns the statistics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text() const;

private:
    using latency_statistics = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                           boost::accumulators::tag::max,
                                           boost::accumulators::tag::extended_p_square_quantile>>;

    struct service_metrics {
        service_metrics();

        latency_statistics latency_ms_;
        std::map<problem_kind, std::uint64_t> problems_;
        std::map<int, std::uint64_t> status_classes_; ///< Calls by first digit; 0: the caller went away.
        std::uint64_t attempts_ = 0;
        std::uint64_t held_by_warm_up_ = 0; ///< Calls that waited or were rejected while upstreams were cold.
        std::uint64_t held_by_evacuation_ = 0;
    };

    std::map<std::string, service_metrics> services_;
};

/// Forwards each notification to two observers, in order.
class observer_pair : public call_observer {
public:
    observer_pair(call_observer& first, call_observer& second) : first_(first), second_(second) {}

    void on_call_finished(const call_record& record) override
    {
        first_.on_call_finished(record);
        second_.on_call_finished(record);
    }
    void on_decision(const call_decision& decision) override
    {
        first_.on_decision(decision);
        second_.on_decision(decision);
    }
    void on_load_reported(const std::string& service, const std::string& upstream,
                          const load_report& report) override
    {
        first_.on_load_reported(service, upstream, report);
        second_.on_load_reported(service, upstream, report);
    }
    void on_rate_limit_changed(const std::string& service, const std::string& upstream,
                               std::optional<double> per_second) override
    {
        first_.on_rate_limit_changed(service, upstream, per_second);
        second_.on_rate_limit_changed(service, upstream, per_second);
    }
    void on_warm_up(const std::string& service, const std::string& upstream, duration left) override
    {
        first_.on_warm_up(service, upstream, left);
        second_.on_warm_up(service, upstream, left);
    }
    void on_pause_asked(const std::string& service, const std::string& upstream, duration pause) override
    {
        first_.on_pause_asked(service, upstream, pause);
        second_.on_pause_asked(service, upstream, pause);
    }

private:
    call_observer& first_;
    call_observer& second_;
};

} // namespace anvilpost
