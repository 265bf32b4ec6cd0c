// Passes updates between the mesh agent, the configuration follower, the call engine and the health probes,
// once per tick and when a message arrives.
#include "daemon/fleet_member.h"

#include "adapters/logging/json_log.h"
#include "core/configuration/configuration_json.h"
#include "core/upstreams/slot_ownership.h"
#include "core/upstreams/vm_list.h"

namespace anvilpost {
namespace {

using namespace std::chrono_literals;

/// Period at which a node that does not watch the store reads it once, before jitter.
constexpr duration store_read_period = 5s;

constexpr duration vm_list_period_of_watchers = 1s;
constexpr duration vm_list_period_of_others = 2500ms;
constexpr duration probe_timeout = 1s;

/// A node sends nothing to cold upstreams for this long after its start, in which it learns of the others.
constexpr duration warm_up_start_guard = 5s;

/// Nodes wait between this part of the read period and all of it, so that their reads spread out.
constexpr double min_jitter_factor = 0.75;

member describe_self(const daemon_settings& settings, std::uint64_t incarnation)
{
    return {settings.node_,
            incarnation,
            settings.data_centre_,
            settings.mesh_.ip_,
            settings.mesh_.port_,
            settings.admin_.ip_,
            settings.admin_.port_,
            0,
            0,
            false};
}

} // namespace

fleet_member::fleet_member(event_loop& loop, const clock_port& clock, random_port& random,
                           const daemon_settings& settings, call_engine& engine, claim_ledger& claims,
                           configuration_follower& follower, consul_store& store, std::uint64_t incarnation)
    : loop_(loop), clock_(clock), random_(random), settings_(settings), engine_(engine), claims_(claims),
      follower_(follower), store_(store), transport_(loop),
      agent_(clock, random, transport_, describe_self(settings, incarnation), make_handlers()),
      probes_(clock.now()), tick_(loop, [this] { on_tick(); })
{
    transport_.attach(agent_);
    std::vector<mesh_seed> seeds;
    for (const auto& peer : settings.peers_) {
        seeds.push_back({peer.ip_, peer.port_});
    }
    agent_.set_seeds(std::move(seeds));
    engine_.on_strike_ = [this](std::uint64_t fingerprint, const std::string& upstream) {
        agent_.broadcast_strike({fingerprint, upstream});
    };
    engine_.on_leaving_ = [this](const std::string& service, const std::string& upstream) {
        const auto& config = engine_.services().at(service).config();
        const auto found = config.upstreams_.find(upstream);
        agent_.broadcast_leaving(
            {service, upstream, found == config.upstreams_.end() ? "" : found->second.incarnation_});
    };
}

mesh_handlers fleet_member::make_handlers()
{
    mesh_handlers handlers;
    handlers.on_configuration_ = [this](const nlohmann::json& document) {
        follower_.offer(document, configuration_source::peer);
    };
    handlers.configuration_ = [this] { return to_json(follower_.in_force()); };
    handlers.on_leaving_ = [this](const leaving_message& notice) {
        apply_leaving_notice(notice, leaving_source::peer);
    };
    handlers.on_strike_ = [this](const strike_message& strike) {
        engine_.on_peer_strike(strike.fingerprint_, strike.upstream_);
    };
    handlers.on_probe_result_ = [this](const probe_result_message& result) {
        engine_.on_probe_result(result.service_, result.upstream_, result.healthy_);
    };
    handlers.prove_ = [this](const std::string& nonce) {
        return hmac_sha256_hex(settings_.mesh_secret_, nonce);
    };
    handlers.verify_ = [this](const std::string& nonce, const std::string& proof) {
        return verify_hmac_sha256_hex(settings_.mesh_secret_, nonce, proof);
    };
    handlers.on_refused_link_ = [](const std::string& reason) {
        write_log(log_level::warning, "mesh connection refused", {{"reason", reason}});
    };
    return handlers;
}

void fleet_member::start()
{
    if (settings_.mesh_.port_ != 0) {
        transport_.listen(settings_.mesh_.ip_, settings_.mesh_.port_);
    }
    on_tick();
}

void fleet_member::on_configuration(const configuration& config)
{
    agent_.announce_revision(config.revision_);
    update_owned_slots();
}

void fleet_member::on_tick()
{
    if (settings_.mesh_.port_ != 0) {
        agent_.on_tick();
    }
    refresh_from_store();
    update_owned_slots();
    share_warm_up_rates();
    probe();
    tick_.start(mesh_agent::tick_period);
}

/// A few nodes per data centre watch the store; the others receive changes from peers and also read the store
/// periodically, which bounds their staleness when the mesh fails.
void fleet_member::refresh_from_store()
{
    const auto now = clock_.now();
    const bool watches = !follower_.ready() || agent_.members().should_watch_store(now);
    follower_.set_watching(watches);
    if (!watches && now >= next_store_read_) {
        const double jitter_factor = min_jitter_factor + (1 - min_jitter_factor) * random_unit(random_);
        next_store_read_ =
            now + duration(static_cast<duration::rep>(store_read_period.count() * jitter_factor));
        follower_.read_once();
    }
    if (now >= next_vm_list_) {
        next_vm_list_ = now + (watches ? vm_list_period_of_watchers : vm_list_period_of_others);
        poll_vm_list();
    }
}

void fleet_member::poll_vm_list()
{
    fetch_request request;
    request.ip_ = settings_.store_.ip_;
    request.port_ = settings_.store_.port_;
    request.target_ = "/v1/catalog/nodes";
    request.timeout_ = 2s;
    store_.count_call();
    fetch(loop_, request, [this](const fetch_result& result) { on_vm_list(result); });
}

void fleet_member::on_vm_list(const fetch_result& result)
{
    constexpr int http_ok = 200;
    if (result.status_ != http_ok) {
        return;
    }
    const auto list = nlohmann::json::parse(result.body_, nullptr, false);
    for (const auto& found : find_leaving_upstreams(list, follower_.in_force())) {
        apply_leaving_notice({found.service_, found.upstream_, found.incarnation_}, leaving_source::vm_list);
    }
}

bool fleet_member::matches_configuration(const leaving_message& notice) const
{
    const auto& services = follower_.in_force().services_;
    const auto service = services.find(notice.service_);
    if (service == services.end()) {
        return false;
    }
    const auto upstream = service->second.upstreams_.find(notice.upstream_);
    return upstream != service->second.upstreams_.end() &&
           upstream->second.incarnation_ == notice.incarnation_;
}

void fleet_member::apply_leaving_notice(const leaving_message& notice, leaving_source source)
{
    if (!matches_configuration(notice)) {
        return;
    }
    engine_.on_upstream_leaving(notice.service_, notice.upstream_, source);
    agent_.broadcast_leaving(notice);
}

/// Recomputes this node's share of the upstreams' slots when a node joined or left or the configuration
/// changed.
void fleet_member::update_owned_slots()
{
    std::vector<slot_owner> owners{{settings_.node_, settings_.data_centre_}};
    for (const auto& other : agent_.members().live(clock_.now())) {
        owners.push_back({other.name_, other.data_centre_});
    }
    std::vector<std::string> names;
    names.reserve(owners.size());
    for (const auto& owner : owners) {
        names.push_back(owner.name_);
    }
    const auto& config = follower_.in_force();
    if (names == owned_slots_nodes_ && config.revision_ == owned_slots_revision_) {
        return;
    }
    claims_.set_nodes(names.size());
    engine_.set_fleet_position({names.size(), ""});
    owned_slots_nodes_ = std::move(names);
    owned_slots_revision_ = config.revision_;
    for (const auto& [name, service] : config.services_) {
        engine_.set_owned_slots(name, count_owned_slots(name, service, owners, settings_.node_));
    }
}

/// One node at a time uses a cold upstream. A node that sees no more than half of the nodes that it knows
/// takes an equal part of the rate, so that separated groups together stay within it.
void fleet_member::share_warm_up_rates()
{
    const auto now = clock_.now();
    started_ = started_ == time_point{} ? now : started_;
    if (now - started_ < warm_up_start_guard) {
        return;
    }
    const auto& members = agent_.members();
    std::optional<double> minority_share;
    for (const auto& [service_name, service] : engine_.services()) {
        for (const auto& [name, upstream] : service.upstreams()) {
            if (!upstream->gate().warm_up().active(now)) {
                continue;
            }
            if (!minority_share) {
                const auto known = members.known().size() + 1;
                const bool majority = 2 * (members.live(now).size() + 1) > known;
                minority_share = majority ? 0.0 : 1.0 / static_cast<double>(known);
            }
            const bool first = members.responsible_for(service_name + "/" + name, now);
            const double share = *minority_share > 0 ? *minority_share : first ? 1.0 : 0.0;
            upstream->gate().set_warm_up_share(share, now);
        }
    }
}

void fleet_member::probe()
{
    for (const auto& [unused, service] : engine_.services()) {
        const auto due_probe =
            probes_.next(service, follower_.in_force().fleet_, agent_.members(), clock_.now());
        if (!due_probe) {
            continue;
        }
        fetch_request request;
        request.ip_ = due_probe->ip_;
        request.port_ = due_probe->port_;
        request.target_ = due_probe->path_;
        request.host_ = due_probe->host_;
        request.timeout_ = probe_timeout;
        request.max_body_bytes_ = 64UL * 1024;
        fetch(loop_, request,
              [this, due_probe = *due_probe](const fetch_result& result) { on_probed(due_probe, result); });
    }
}

void fleet_member::on_probed(const probe_request& request, const fetch_result& result)
{
    probes_.on_finished(request.service_, clock_.now());
    const bool healthy = result.status_ >= 200 && result.status_ < 400;
    engine_.on_probe_result(request.service_, request.upstream_, healthy);
    agent_.broadcast_probe_result({request.service_, request.upstream_, healthy});
}

} // namespace anvilpost
