// Builds and connects the parts of a node, runs it, and reports its status and metrics.
#include "daemon/node.h"

#include "adapters/logging/json_log.h"
#include "daemon/burn_collector.h"
#include "daemon/quota_report.h"

namespace anvilpost {
namespace {

call_path_settings make_call_path_settings(const daemon_settings& settings)
{
    call_path_settings path_settings;
    path_settings.node_ = settings.node_;
    path_settings.listen_ip_ = settings.listen_.ip_;
    path_settings.listen_port_ = settings.listen_.port_;
    path_settings.callers_ = settings.limits_;
    path_settings.drain_notice_ = settings.drain_notice_;
    path_settings.drain_timeout_ = settings.drain_timeout_;
    return path_settings;
}

nlohmann::json lost_plans(const std::vector<applied_plan>& plans)
{
    nlohmann::json lost = nlohmann::json::array();
    for (const auto& plan : plans) {
        lost.push_back({{"plan", plan.id_}, {"revision", plan.revision_}});
    }
    return lost;
}

/// Covers an audit by the other nodes and their write, unless the store is slow.
constexpr duration start_hold = std::chrono::milliseconds(1'500);

claim_settings make_claim_settings()
{
    claim_settings settings;
    settings.start_hold_ = start_hold;
    return settings;
}

} // namespace

node::node(const daemon_settings& settings)
    : settings_(settings), store_(loop_, {settings.store_.ip_, settings.store_.port_}),
      claims_(store_, clock_, wall_clock_, random_.next(), make_claim_settings()), decisions_(clock_),
      quotas_(clock_),
      call_path_(loop_, clock_, random_, claims_, decisions_, make_call_path_settings(settings)),
      follower_(loop_, store_, random_),
      fleet_(loop_, clock_, random_, settings_, call_path_.engine(), claims_, follower_, store_,
             static_cast<std::uint64_t>(wall_clock_.since_epoch().count())),
      intents_(store_),
      admin_(loop_, settings.admin_.ip_, settings.admin_.port_, intents_, make_admin_callbacks()),
      started_(clock_.now()), terminate_(loop_, SIGTERM, [this] { on_terminate(); }),
      interrupt_(loop_, SIGINT, [this] { on_terminate(); })
{
    claims_.on_decided([this](call_id call, claim_decision decision) {
        call_path_.engine().on_claim_decided(call, decision);
    });
    claims_.on_restored_ = [](std::size_t shard, const shard_restore& restore) {
        write_log(
            restore.lost_ == 0 ? log_level::warning : log_level::error,
            "the store came back from an older copy of a shard of claims",
            {{"shard", shard}, {"claims_written_again", restore.rewritten_}, {"claims_lost", restore.lost_}});
    };
    claims_.on_work_waiting_ = [this] { call_path_.schedule_wakeup(); };
    call_path_.on_wakeup_ = [this] { claims_.on_wakeup(); };
    call_path_.next_wakeup_ = [this] { return claims_.next_wakeup(); };
    intents_.in_force_ = [this]() -> const configuration& { return follower_.in_force(); };
    quotas_.decide_ = [this](call_id call, const quota_decision& decision) {
        call_path_.engine().on_quota_decided(call, decision);
    };
    call_path_.engine().set_quotas(&quotas_);
    follower_.on_change(
        [this](const configuration& config, configuration_source) { on_configuration(config); });
}

int node::run()
{
    write_log(log_level::info, "node started",
              {{"listen", settings_.listen_.port_}, {"admin", settings_.admin_.port_}});
    fleet_.start();
    call_path_.schedule_wakeup();
    loop_.run();
    write_log(log_level::info, "node stopped", {{"requests_cut_off", call_path_.callers().open_exchanges()}});
    return call_path_.callers().open_exchanges() == 0 ? 0 : 1;
}

void node::on_configuration(const configuration& config)
{
    quotas_.apply(config);
    call_path_.apply(config);
    fleet_.on_configuration(config);
}

void node::on_terminate()
{
    if (call_path_.stage() == node_stage::running) {
        fleet_.announce_stopping();
    }
    call_path_.terminate();
}

admin_callbacks node::make_admin_callbacks()
{
    admin_callbacks callbacks;
    callbacks.ready_ = [this] { return call_path_.stage() == node_stage::running && follower_.ready(); };
    callbacks.status_ = [this] { return status(); };
    callbacks.metrics_ = [this] { return metrics(); };
    callbacks.local_burn_ = [this] { return to_json(local_burn()); };
    callbacks.burn_ = [this](std::function<void(const api_response&)> done) {
        const burn_sources sources{[this] { return local_burn(); },
                                   [this] { return fleet_.agent().members().known(); },
                                   [this]() -> const configuration& { return follower_.in_force(); }};
        collect_burn(loop_, sources, std::move(done));
    };
    return callbacks;
}

std::map<std::string, service_burn> node::local_burn() const
{
    auto report = call_path_.burn().report();
    for (const auto& [service, sent] : fleet_.probes().sent()) {
        report[service].probes_sent_ = sent;
    }
    for (auto& [unused, burn] : report) {
        burn.probing_for_ = std::chrono::duration_cast<std::chrono::seconds>(clock_.now() - started_);
    }
    return report;
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
            {"stage", name_of(call_path_.stage())},
            {"revision", follower_.in_force().revision_},
            {"watches_store", follower_.watching()},
            {"store_reachable", follower_.store_reachable()},
            {"last_refused_configuration", follower_.last_refusal()},
            {"claims",
             {{"store_restores", claims_.counters().restores_},
              {"written_again", claims_.counters().rewritten_},
              {"lost", claims_.counters().lost_}}},
            {"store_restores", follower_.store_restores()},
            {"lost_plans", lost_plans(follower_.lost_plans())},
            {"in_flight", call_path_.callers().open_exchanges()},
            {"suspect_requests", call_path_.engine().suspects().size()},
            {"mesh_links", fleet_.agent().links()},
            {"other_nodes", fleet_status()},
            {"quotas", {{"organisations", describe_usages(quotas_.usages())}}},
            {"services", call_path_.service_status()}};
}

std::string node::metrics() const
{
    const auto& claims = claims_.counters();
    std::string text = call_path_.metrics();
    const auto add = [&](const std::string& name, const std::string& type, std::uint64_t value) {
        add_metric(text, name, type, value);
    };
    add("configuration_revision", "gauge", follower_.in_force().revision_);
    add("store_calls_total", "counter", store_.calls());
    add("claims_granted_total", "counter", claims.granted_);
    add("claims_duplicate_total", "counter", claims.duplicates_);
    add("claims_refused_total", "counter", claims.refused_);
    add("claim_writes_total", "counter", claims.writes_);
    add("claim_reads_total", "counter", claims.reads_);
    add("claim_conflicts_total", "counter", claims.conflicts_);
    add("claim_shard_restores_total", "counter", claims.restores_);
    add("claims_written_again_total", "counter", claims.rewritten_);
    add("claims_lost_total", "counter", claims.lost_);
    add("claims_abandoned", "gauge", claims_.abandoned());
    add("mesh_links", "gauge", fleet_.agent().links());
    add("mesh_bytes_sent_total", "counter", fleet_.transport().bytes_sent());
    add("mesh_bytes_received_total", "counter", fleet_.transport().bytes_received());
    add("mesh_links_refused_total", "counter", fleet_.agent().counters().links_refused_);
    add_usage_metrics(text, quotas_.usages());
    for (const auto& [service, sent] : fleet_.probes().sent()) {
        text += "anvilpost_probes_sent_total{service=\"" + service + "\"} " + std::to_string(sent) + "\n";
    }
    return text;
}

} // namespace anvilpost
