// Connects the parts of the call path, schedules the engine's wake-ups and runs the stages of a planned stop.
#include "daemon/call_path.h"

#include "adapters/logging/json_log.h"

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Waiting calls are refused this long before the drain deadline, so that the refusal still reaches the
/// caller.
constexpr duration refusal_reserve = std::chrono::milliseconds(200);
constexpr duration drain_check_period = 20ms;

/// A node without requests in flight exits only after this time without a new request.
constexpr duration idle_time_before_exit = 200ms;

constexpr duration max_sleep = 1s;
constexpr duration min_sleep = 1ms;

nlohmann::json describe(const send_restriction& restriction, time_point now)
{
    const auto milliseconds = [](duration length) {
        return std::chrono::duration<double, std::milli>(length).count();
    };
    nlohmann::json text{{"because", name_of(restriction.because_)}};
    if (restriction.source_) {
        text["source"] = name_of(*restriction.source_);
    }
    if (restriction.since_) {
        text["for_ms"] = milliseconds(now - *restriction.since_);
    }
    if (restriction.ends_at_) {
        text["ends_in_ms"] = milliseconds(*restriction.ends_at_ - now);
    }
    if (restriction.per_second_) {
        text["per_second"] = *restriction.per_second_;
    }
    return text;
}

} // namespace

call_path::call_path(event_loop& loop, const clock_port& clock, random_port& random, claim_port& claims,
                     call_observer& decisions, const call_path_settings& settings)
    : loop_(loop), clock_(clock), settings_(settings),
      pool_(loop, clock, settings.upstreams_, settings.names_),
      callers_(loop, clock, random, settings.listen_ip_, settings.listen_port_, settings.callers_,
               settings.names_, settings.node_, organisations_),
      burn_(clock), metrics_and_burn_(metrics_, burn_), observer_(metrics_and_burn_, decisions),
      engine_({clock, random, pool_, callers_, claims, observer_, &organisations_}),
      notice_timer_(loop, [this] { stop_accepting(); }), drain_timer_(loop, [this] { check_drained(); }),
      wakeup_timer_(loop, [this] { on_wakeup_timer(); })
{
    pool_.connect(engine_, callers_, callers_);
    callers_.connect(engine_, pool_);
    engine_.on_earlier_wakeup_ = [this] { schedule_wakeup(); };
}

void call_path::apply(const configuration& config)
{
    organisations_.apply(config);
    callers_.apply(config);
    burn_.apply(config);
    engine_.apply(config);
}

void call_path::terminate()
{
    if (stage_ != node_stage::running) {
        write_log(log_level::warning, "second termination signal: stopping without draining");
        stage_ = node_stage::stopped;
        loop_.stop();
        return;
    }
    stage_ = node_stage::notice;
    write_log(log_level::info, "draining", {{"in_flight", callers_.open_exchanges()}});
    callers_.start_draining();
    drain_deadline_ = clock_.now() + settings_.drain_notice_ + settings_.drain_timeout_;
    engine_.set_waiting_deadline(drain_deadline_ - refusal_reserve);
    notice_timer_.start(settings_.drain_notice_);
}

void call_path::stop_accepting()
{
    stage_ = node_stage::draining;
    callers_.stop_accepting();
    // A request accepted from here on might not finish before the deadline. Closing connections while they
    // are idle loses no request.
    callers_.close_idle_connections();
    check_drained();
}

void call_path::check_drained()
{
    const bool idle = clock_.now() - callers_.last_request() > idle_time_before_exit;
    const bool drained = callers_.open_exchanges() == 0 && idle;
    if (drained || clock_.now() > drain_deadline_) {
        stage_ = node_stage::stopped;
        loop_.stop();
        return;
    }
    drain_timer_.start(drain_check_period);
}

void call_path::schedule_wakeup()
{
    auto sleep = max_sleep;
    const auto limit_sleep = [&](const std::optional<time_point>& next) {
        if (next) {
            sleep = std::min(sleep, std::max<duration>(min_sleep, *next - clock_.now()));
        }
    };
    limit_sleep(engine_.next_wakeup());
    if (next_wakeup_) {
        limit_sleep(next_wakeup_());
    }
    wakeup_timer_.start(sleep);
}

void call_path::on_wakeup_timer()
{
    engine_.on_wakeup();
    if (on_wakeup_) {
        on_wakeup_();
    }
    schedule_wakeup();
}

nlohmann::json call_path::service_status() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto& [name, service] : engine_.services()) {
        auto& entry = services[name];
        entry["waiting"] = service.queue_.size();
        entry["median_ms"] = static_cast<double>(service.latencies_.median().count()) / 1000;
        entry["p95_ms"] = static_cast<double>(service.latencies_.p95().count()) / 1000;
        entry["extra_attempts_left"] = service.retry_budget_.left(clock_.now());
        for (const auto& [upstream_name, upstream] : service.upstreams()) {
            auto& row = entry["upstreams"][upstream_name];
            row["state"] = name_of(upstream->config().state_);
            row["in_flight"] = upstream->in_flight();
            row["occupancy"] = upstream->occupancy(clock_.now());
            row["slowdown"] = upstream->slowdown(clock_.now(), service.typical_slowdown());
            row["failure_rate"] = upstream->failure_rate(clock_.now());
            row["ejected"] = upstream->ejected(clock_.now());
            row["leaving"] = upstream->leaving();
            if (const auto restriction = upstream->gate().restriction(clock_.now())) {
                row["restricted"] = describe(*restriction, clock_.now());
            }
            if (const auto report_time = upstream->report_time()) {
                row["report_age_ms"] =
                    std::chrono::duration<double, std::milli>(clock_.now() - *report_time).count();
            }
        }
    }
    return services;
}

void add_metric(std::string& text, const std::string& name, const std::string& type, std::uint64_t value)
{
    text +=
        "# TYPE anvilpost_" + name + " " + type + "\nanvilpost_" + name + " " + std::to_string(value) + "\n";
}

std::string call_path::metrics() const
{
    const auto& pool = pool_.counters();
    const auto& callers = callers_.counters();
    std::string text = metrics_.text();
    add_metric(text, "calls_in_flight", "gauge", callers_.open_exchanges());
    add_metric(text, "caller_connections", "gauge", callers_.open_connections());
    add_metric(text, "caller_connections_accepted_total", "counter", callers.connections_accepted_);
    add_metric(text, "caller_requests_total", "counter", callers.requests_);
    add_metric(text, "caller_requests_refused_early_total", "counter", callers.refused_before_routing_);
    add_metric(text, "caller_requests_unauthorised_total", "counter", callers.unauthorised_);
    add_metric(text, "organisations", "gauge", organisations_.size());
    add_metric(text, "callers_gone_total", "counter", callers.callers_gone_);
    add_metric(text, "large_responses_in_progress", "gauge", callers_.large_responses().members());
    add_metric(text, "large_responses_total", "counter", callers_.large_responses().begun());
    add_metric(text, "response_bytes_unsent", "gauge", callers_.unsent().used_bytes_);
    add_metric(text, "response_bytes_unsent_most", "gauge", callers_.unsent().peak_bytes_);
    add_metric(text, "response_pauses_total", "counter", callers.response_pauses_);
    add_metric(text, "upstream_connections_opened_total", "counter", pool.connections_opened_);
    add_metric(text, "upstream_connections_reused_total", "counter", pool.connections_reused_);
    add_metric(text, "upstream_connections_failed_total", "counter", pool.connect_failures_);
    add_metric(text, "upstream_connections_most_open", "gauge", pool.most_open_);
    add_metric(text, "upstream_connections_surplus_total", "counter", pool.surplus_responses_);
    add_metric(text, "upstream_answers_foreign_total", "counter", pool.foreign_responses_);
    add_metric(text, "upstream_answers_unreadable_total", "counter", pool.unreadable_responses_);
    return text;
}

} // namespace anvilpost
