// Wiring and life cycle of a node.
#include "daemon/node.h"

#include "adapters/logging/json_log.h"
#include "daemon/burn_collector.h"

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

constexpr duration drain_check_period = 20ms;
constexpr duration quiet_before_exit = 200ms;
constexpr duration longest_sleep = 1s;

} // namespace

node::node(const daemon_settings& settings)
    : settings_(settings), store_(loop_, {settings.store_.ip_, settings.store_.port_}),
      pool_(loop_, clock_, {}),
      callers_(loop_, clock_, settings.listen_.ip_, settings.listen_.port_, settings.limits_, settings.node_),
      claims_(store_, clock_, wall_clock_, random_.next(), {}), burn_(clock_), observer_(metrics_, burn_),
      engine_({clock_, random_, pool_, callers_, claims_, observer_}), follower_(loop_, store_, random_),
      fleet_(loop_, clock_, random_, settings_, engine_, claims_, follower_, store_,
             static_cast<std::uint64_t>(wall_clock_.since_epoch().count())),
      intents_(store_), admin_(loop_, settings.admin_.ip_, settings.admin_.port_, intents_, make_views()),
      started_(clock_.now()), notice_timer_(loop_, [this] { stop_accepting(); }),
      drain_timer_(loop_, [this] { check_drained(); }), wakeup_timer_(loop_, [this] { on_wakeup(); }),
      terminate_(loop_, SIGTERM, [this] { on_terminate(); }),
      interrupt_(loop_, SIGINT, [this] { on_terminate(); })
{
    pool_.connect(engine_, callers_, callers_);
    callers_.connect(engine_, pool_);
    claims_.on_decided(
        [this](call_id call, claim_decision decision) { engine_.on_claim_decided(call, decision); });
    engine_.on_earlier_wakeup_ = [this] { arm_wakeup(); };
    claims_.on_work_waiting_ = [this] { arm_wakeup(); };
    follower_.on_change(
        [this](const configuration& config, configuration_source) { on_configuration(config); });
}

int node::run()
{
    write_log(log_level::info, "node started",
              {{"listen", settings_.listen_.port_}, {"admin", settings_.admin_.port_}});
    fleet_.start();
    arm_wakeup();
    loop_.run();
    write_log(log_level::info, "node stopped", {{"requests_cut_off", callers_.open_exchanges()}});
    return callers_.open_exchanges() == 0 ? 0 : 1;
}

void node::on_configuration(const configuration& config)
{
    callers_.apply(config);
    burn_.apply(config);
    engine_.apply(config);
    fleet_.on_configuration(config);
}

void node::on_terminate()
{
    if (stage_ != node_stage::running) {
        write_log(log_level::warning, "second signal: stopping at once");
        stage_ = node_stage::stopped;
        loop_.stop();
        return;
    }
    stage_ = node_stage::notice;
    write_log(log_level::info, "draining", {{"in_flight", callers_.open_exchanges()}});
    callers_.start_draining();
    fleet_.announce_stopping();
    drain_deadline_ = clock_.now() + settings_.drain_notice_ + settings_.drain_timeout_;
    notice_timer_.start(settings_.drain_notice_);
}

void node::stop_accepting()
{
    stage_ = node_stage::draining;
    callers_.stop_accepting();
    check_drained();
}

void node::check_drained()
{
    const bool quiet = clock_.now() - callers_.last_request() > quiet_before_exit;
    const bool drained = callers_.open_exchanges() == 0 && quiet;
    if (drained || clock_.now() > drain_deadline_) {
        stage_ = node_stage::stopped;
        loop_.stop();
        return;
    }
    drain_timer_.start(drain_check_period);
}

void node::arm_wakeup()
{
    auto sleep = longest_sleep;
    for (const auto& next : {engine_.next_wakeup(), claims_.next_wakeup()}) {
        if (next) {
            sleep = std::min(sleep, std::max<duration>(1ms, *next - clock_.now()));
        }
    }
    wakeup_timer_.start(sleep);
}

void node::on_wakeup()
{
    engine_.on_wakeup();
    claims_.on_wakeup();
    arm_wakeup();
}

admin_views node::make_views()
{
    admin_views views;
    views.ready_ = [this] { return stage_ == node_stage::running && follower_.ready(); };
    views.status_ = [this] { return status(); };
    views.metrics_ = [this] { return metrics(); };
    views.local_burn_ = [this] { return to_json(local_burn()); };
    views.burn_ = [this](std::function<void(const api_answer&)> done) {
        const burn_sources sources{[this] { return local_burn(); },
                                   [this] { return fleet_.agent().members().known(); },
                                   [this]() -> const configuration& { return follower_.in_force(); }};
        collect_burn(loop_, sources, std::move(done));
    };
    return views;
}

std::map<std::string, service_burn> node::local_burn() const
{
    auto report = burn_.report();
    for (const auto& [service, sent] : fleet_.probes().sent()) {
        report[service].probes_sent_ = sent;
    }
    for (auto& [unused, burn] : report) {
        burn.probing_for_ = std::chrono::duration_cast<std::chrono::seconds>(clock_.now() - started_);
    }
    return report;
}

nlohmann::json node::service_status() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto& [name, service] : engine_.services()) {
        auto& entry = services[name];
        entry["waiting"] = service.waiting_.size();
        entry["median_ms"] = static_cast<double>(service.latencies_.median().count()) / 1000;
        entry["p95_ms"] = static_cast<double>(service.latencies_.p95().count()) / 1000;
        for (const auto& [upstream_name, upstream] : service.upstreams()) {
            auto& row = entry["upstreams"][upstream_name];
            row["state"] = name_of(upstream->config().state_);
            row["in_flight"] = upstream->in_flight();
            row["ejected"] = upstream->ejected(clock_.now());
            row["leaving"] = upstream->leaving();
            if (const auto reason = upstream->reason_for_leaving()) {
                row["leaving_because"] = name_of(*reason);
            }
        }
    }
    return services;
}

nlohmann::json node::fleet_status() const
{
    nlohmann::json nodes = nlohmann::json::object();
    const auto& members = fleet_.agent().members();
    for (const auto& other : members.known()) {
        nodes[other.name_] = {{"data_centre", other.data_centre_},
                              {"revision", other.revision_},
                              {"alive", members.alive(other.name_, clock_.now())},
                              {"stopping", other.stopping_}};
    }
    return nodes;
}

nlohmann::json node::status() const
{
    return {{"node", settings_.node_},
            {"data_centre", settings_.data_centre_},
            {"stage", name_of(stage_)},
            {"revision", follower_.in_force().revision_},
            {"watches_store", follower_.watching()},
            {"store_reachable", follower_.store_reachable()},
            {"last_refused_configuration", follower_.last_refusal()},
            {"in_flight", callers_.open_exchanges()},
            {"suspect_requests", engine_.suspects().size()},
            {"mesh_links", fleet_.agent().links()},
            {"other_nodes", fleet_status()},
            {"services", service_status()}};
}

std::string node::metrics() const
{
    const auto& claims = claims_.counters();
    const auto& pool = pool_.counters();
    std::string text = metrics_.text();
    const auto add = [&](const std::string& name, const std::string& type, std::uint64_t value) {
        text += "# TYPE anvilpost_" + name + " " + type + "\nanvilpost_" + name + " " +
                std::to_string(value) + "\n";
    };
    add("calls_in_flight", "gauge", callers_.open_exchanges());
    add("configuration_revision", "gauge", follower_.in_force().revision_);
    add("store_calls_total", "counter", store_.calls());
    add("claims_granted_total", "counter", claims.granted_);
    add("claims_duplicate_total", "counter", claims.duplicates_);
    add("claims_refused_total", "counter", claims.refused_);
    add("claim_writes_total", "counter", claims.writes_);
    add("claim_reads_total", "counter", claims.reads_);
    add("claim_conflicts_total", "counter", claims.conflicts_);
    add("claims_abandoned", "gauge", claims_.abandoned());
    add("upstream_connections_opened_total", "counter", pool.connections_opened_);
    add("upstream_connections_reused_total", "counter", pool.connections_reused_);
    add("upstream_connections_most_open", "gauge", pool.most_open_);
    add("upstream_connections_surplus_total", "counter", pool.surplus_answers_);
    add("mesh_links", "gauge", fleet_.agent().links());
    add("mesh_bytes_sent_total", "counter", fleet_.transport().bytes_sent());
    add("mesh_bytes_received_total", "counter", fleet_.transport().bytes_received());
    add("mesh_links_refused_total", "counter", fleet_.agent().counters().links_refused_);
    for (const auto& [service, sent] : fleet_.probes().sent()) {
        text += "anvilpost_probes_sent_total{service=\"" + service + "\"} " + std::to_string(sent) + "\n";
    }
    return text;
}

} // namespace anvilpost
