// Builds and connects the parts of a node with a registry, runs it, and serves its status, metrics and view
// of the store.
#include "daemon/registry_node.h"

#include "adapters/http/http_fetch.h"
#include "adapters/logging/json_log.h"
#include "core/fleet/view_messages.h"
#include "daemon/quota_report.h"
#include "vocabulary/stable_hash.h"

#include <algorithm>
#include <cstdlib>

namespace anvilpost {
namespace {

/// Time at start that a node gives its peers to send their view, before it reads the store itself.
constexpr duration peer_view_wait = std::chrono::milliseconds(180);

/// The same for a seed or a node without seeds, which may be the first node to start.
constexpr duration peer_view_wait_as_seed = std::chrono::milliseconds(20);

/// A tick later than this is logged and counted, since it delays calls by as much.
constexpr duration late_tick_threshold = std::chrono::milliseconds(60);

constexpr duration probe_choice_period = std::chrono::milliseconds(200);

/// Part of an upstream's probe budget that one prober uses. Below one half, so that two probers stay within
/// the budget while one takes over from the other.
constexpr double probe_budget_share = 0.45;

/// Upstreams that a node probes while it may be cut off from all of them, and the time between two probes of
/// each. They must fail together for the node to count as cut off.
constexpr std::size_t reachability_probe_targets = 4;
constexpr duration reachability_probe_period = std::chrono::milliseconds(300);
constexpr duration reachability_probe_period_of_limited = std::chrono::seconds(2);

/// Number of nodes assumed to probe the same upstream when this node is not in contact with the majority of
/// its data centre.
constexpr double assumed_probers_without_majority = 20;

constexpr double microseconds_per_second = 1e6;

std::int64_t milliseconds(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

peer describe_self(const registry_node_settings& settings)
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return {settings.node_,
            static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count()),
            settings.data_centre_,
            settings.peers_.ip_,
            settings.peers_.port_,
            settings.control_.port_,
            settings.capacity_,
            false,
            settings.call_path_.listen_port_,
            false,
            peer_capability::quotas | (settings.dispatch_from_nodes_ > 0 ? peer_capability::dispatch : 0)};
}

page_table ready_pages(const std::string& path, std::function<bool()> ready)
{
    constexpr int unavailable = 503;
    page_table pages;
    pages[path] = [ready = std::move(ready)](const std::string&) {
        const bool is_ready = ready();
        return page{is_ready ? 200 : unavailable, is_ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n",
                    "application/json"};
    };
    return pages;
}

void log_registry_event(const registry_event& event)
{
    const bool refused = event.kind_ == registry_event::kind::configuration_refused ||
                         event.kind_ == registry_event::kind::entry_refused;
    write_log(refused ? log_level::warning : log_level::info, name_of(event.kind_),
              {{"name", event.name_}, {"revision", event.revision_}, {"detail", event.detail_}});
}

} // namespace

registry_node::registry_node(event_loop& loop, const registry_node_settings& settings,
                             registry_store_port& store, const document_codec& codec)
    : loop_(loop), settings_(settings), decisions_(clock_), observer_(decisions_, load_forwarder_),
      call_path_(loop, clock_, random_, claims_, observer_, settings.call_path_),
      registry_(codec, clock_, settings.follower_.lapse_grace_),
      follower_(store, clock_, random_, settings.follower_), view_client_(loop),
      view_fetcher_(clock_, view_client_, follower_),
      datagrams_(loop, settings.peers_.ip_, settings.peers_.port_,
                 [this](const std::string& bytes) { on_datagram(bytes); }),
      peers_({clock_, random_, datagrams_, follower_, call_path_.engine()}, describe_self(settings)),
      dispatch_({clock_, random_, datagrams_, peers_.peers(), call_path_.engine()},
                settings.dispatch_from_nodes_),
      slot_refusals_(clock_), prober_(loop, clock_, settings.call_path_.names_,
                                      [this](const probe_target& target, const probe_result& result) {
                                          on_probe_result(target, result);
                                      }),
      ready_server_(loop, settings.ready_.ip_, settings.ready_.port_,
                    ready_pages(settings.ready_path_, [this] { return ready(); })),
      control_server_(loop, settings.control_.ip_, settings.control_.port_, control_pages()),
      tick_(loop, [this] { on_tick(); }), terminate_(loop, SIGTERM, [this] { on_terminate(); }),
      interrupt_(loop, SIGINT, [this] { on_terminate(); })
{
    call_path_.callers().set_configured(false);
    call_path_.callers().is_current_ = [this] { return follower_.usable(); };
    registry_.on_event_ = log_registry_event;
    peers_.set_seeds(settings.seeds_);
    peers_.on_later_view_ = [this](const peer& from, std::uint64_t revision) {
        view_fetcher_.on_later_view(from, revision);
    };
    view_fetcher_.on_failure_ = [](const peer& from, fetch_failure why, duration asked_for) {
        write_log(
            log_level::warning, "a peer's view could not be fetched",
            {{"peer", from.name_}, {"reason", name_of(why)}, {"asked_for_ms", milliseconds(asked_for)}});
    };
    load_forwarder_.on_load_ = [this](const std::string& service, const std::string& upstream,
                                      const load_report& report) {
        peers_.record_load(service, upstream, report, true, false);
    };
    auto& engine = call_path_.engine();
    engine.set_quotas(&peers_.quotas().client());
    peers_.quotas().on_coordinator_changed_ = [this](const std::string& coordinator) {
        log_coordinator_change(coordinator, peers_.quotas());
    };
    engine.on_in_flight_changed_ = [this](const std::string&, const std::string&) {
        peers_.record_in_flight_change();
    };
    engine.choose_peer_ = [this](const std::string& service, const std::set<std::string>& tried) {
        return peers_.choose_serving_peer(service, tried);
    };
    engine.on_peer_unreached_ = [this](const std::string& peer) { peers_.record_unreached_peer(peer); };
    engine.on_leaving_ = [this](const std::string& service, const std::string& upstream) {
        peers_.record_leaving(service, upstream);
        mark_leaving_later(service, upstream);
    };
    engine.on_warm_up_ = [this](const std::string& service, const std::string& upstream, duration left,
                                bool is_news) { peers_.record_warm_up(service, upstream, left, is_news); };
    peers_.on_peer_leaving_ = [this](const std::string& service, const std::string& upstream) {
        mark_leaving_later(service, upstream);
    };
    dispatch_.on_flush_due_ = [this] {
        loop_.defer([this] {
            dispatch_.flush();
            call_path_.schedule_wakeup();
        });
    };
    dispatch_.on_refused([this](const slot_refusal& refused) { slot_refusals_.add(refused); });
    call_path_.next_wakeup_ = [this] { return dispatch_.next_wakeup(); };
    call_path_.on_wakeup_ = [this] { dispatch_.on_wakeup(); };
    engine.on_strike_ = [this](std::uint64_t fingerprint, const std::string& upstream) {
        peers_.record_strike(fingerprint, upstream);
    };
    const exchange_address own{settings.peers_.ip_, settings.peers_.port_};
    const bool is_seed =
        std::find(settings.seeds_.begin(), settings.seeds_.end(), own) != settings.seeds_.end();
    follower_.wait_for_peers(is_seed || settings.seeds_.empty() ? peer_view_wait_as_seed : peer_view_wait);
    follower_.on_change([this](const std::vector<stored_item>& changes) { on_store_changes(changes); });
    follower_.on_update([this](const view_update& update) { on_view_update(update); });
}

int registry_node::run()
{
    write_log(log_level::info, "node started",
              {{"listen", settings_.call_path_.listen_port_}, {"data_centre", settings_.data_centre_}});
    on_tick();
    call_path_.schedule_wakeup();
    loop_.run();
    const auto cut_off = call_path_.callers().open_exchanges();
    write_log(log_level::info, "node stopped", {{"requests_cut_off", cut_off}});
    return cut_off == 0 ? 0 : 1;
}

void registry_node::on_datagram(const std::string& bytes)
{
    clock_.detect_suspension();
    if (!dispatch_.on_datagram(bytes)) {
        peers_.on_datagram(bytes);
        return;
    }
    call_path_.schedule_wakeup();
}

/// A late tick means that this process had too little CPU time or that the machine was suspended. Latencies
/// measured meanwhile say more about this node than about the upstreams.
void registry_node::detect_late_tick()
{
    const auto late = clock_.now() - last_tick_ - peer_exchange::tick_period;
    if (last_tick_ != time_point{} && late > late_tick_threshold) {
        ++late_ticks_;
        write_log(log_level::warning, "event loop was late",
                  {{"late_ms", std::chrono::duration<double, std::milli>(late).count()},
                   {"in_flight", call_path_.callers().open_exchanges()}});
    }
    last_tick_ = clock_.now();
}

void registry_node::detect_cut_off()
{
    const bool cut_off = call_path_.engine().reachability().cut_off(clock_.now());
    if (cut_off == cut_off_) {
        return;
    }
    cut_off_ = cut_off;
    write_log(cut_off ? log_level::warning : log_level::info,
              cut_off ? "no upstream can be reached" : "upstreams can be reached again",
              {{"in_flight", call_path_.callers().open_exchanges()},
               {"peers_live", peers_.peers().live(clock_.now()).size()}});
}

/// An overdue view is expected while the store cannot be read; at any other time it is a fault.
void registry_node::detect_overdue_view()
{
    const bool overdue = follower_.overdue();
    if (overdue == view_overdue_) {
        return;
    }
    view_overdue_ = overdue;
    views_overdue_ += overdue ? 1 : 0;
    write_log(overdue ? log_level::warning : log_level::info,
              overdue ? "view of the store is overdue" : "view of the store is current again",
              {{"age_ms", milliseconds(follower_.age())},
               {"store_reachable", follower_.store_reachable()},
               {"store_rank", peers_.duties().store_rank()},
               {"in_flight", call_path_.callers().open_exchanges()}});
}

/// Tells, per node, from when to when the store could not be read.
void registry_node::detect_store_outage()
{
    if (follower_.store_reachable() == store_reachable_) {
        return;
    }
    store_reachable_ = follower_.store_reachable();
    write_log(store_reachable_ ? log_level::info : log_level::warning,
              store_reachable_ ? "the store can be read again" : "the store cannot be read",
              {{"store_rank", peers_.duties().store_rank()}, {"view_age_ms", milliseconds(follower_.age())}});
}

/// How late a change is in force on this node: at most by the age that its view had, and since the first node
/// had the change.
void registry_node::on_view_update(const view_update& update)
{
    max_update_age_ = std::max(max_update_age_, update.age_before_);
    max_update_delay_ = std::max(max_update_delay_, update.known_for_);
    write_log(log_level::info, "view updated",
              {{"revision", number_of(update.revision_)},
               {"peer", update.peer_},
               {"changes", update.changes_},
               {"age_before_ms", milliseconds(update.age_before_)},
               {"known_for_ms", milliseconds(update.known_for_)},
               {"store_rank", peers_.duties().store_rank()}});
}

void registry_node::on_tick()
{
    clock_.detect_suspension();
    detect_late_tick();
    detect_cut_off();
    detect_overdue_view();
    detect_store_outage();
    peers_.on_tick();
    view_fetcher_.on_tick();
    dispatch_.on_tick();
    follower_.on_tick();
    call_path_.callers().start_waiting_calls();
    if (registry_.drop_lapsed()) {
        apply_effective_configuration();
    }
    if (clock_.now() >= next_probe_choice_) {
        next_probe_choice_ = clock_.now() + probe_choice_period;
        choose_probe_targets();
    }
    tick_.start(peer_exchange::tick_period);
}

/// Keeps the probes of all nodes together within the operators' budget. One node is assigned to probe an
/// upstream and uses less than half of the budget. A node that is not in contact with the majority of its
/// data centre might not be the only prober, so it uses only the share that each of
/// `assumed_probers_without_majority` probers would have.
void registry_node::choose_probe_targets()
{
    std::vector<probe_target> targets;
    const bool has_majority = peers_.peers().has_local_majority(clock_.now());
    for (const auto& [service_name, service] : call_path_.engine().services()) {
        const auto& policy = service.config().policy_;
        const double budget_share = has_majority ? probe_budget_share : 1 / assumed_probers_without_majority;
        const double per_second = policy.probes_per_second_ * budget_share;
        if (per_second <= 0 || call_path_.stage() != node_stage::running) {
            continue;
        }
        const auto period =
            std::max(settings_.min_probe_period_,
                     duration(static_cast<duration::rep>(microseconds_per_second / per_second)));
        for (const auto& [name, upstream] : service.upstreams()) {
            const auto& config = upstream->config();
            const auto permit = peers_.duties().probes(name, config.data_centre_)
                                    ? upstream->gate().take(send_purpose::health_probe, clock_.now())
                                    : std::nullopt;
            if (permit) {
                targets.push_back(
                    {*permit, service_name, name, config.ip_, config.port_, policy.health_path_, period});
            }
        }
    }
    add_reachability_probes(targets);
    prober_.set_targets(targets);
}

/// While this node may be cut off, it probes a few upstreams, different ones than other nodes, to find out
/// whether any responds.
void registry_node::add_reachability_probes(std::vector<probe_target>& targets) const
{
    const auto& engine = call_path_.engine();
    if (!engine.reachability().in_doubt() || call_path_.stage() != node_stage::running ||
        targets.size() >= reachability_probe_targets) {
        return;
    }
    struct candidate {
        std::uint64_t rank_ = 0;
        const service_state* service_ = nullptr;
        upstream_tracker* upstream_ = nullptr;
    };
    std::vector<candidate> candidates;
    const auto own_seed = stable_hash(settings_.node_);
    for (const auto& [unused, service] : engine.services()) {
        for (const auto& [name, upstream] : service.upstreams()) {
            const bool may_probe = !upstream->gate().obstacle(send_purpose::reachability_probe, clock_.now());
            if (may_probe && service.config().policy_.probes_per_second_ > 0) {
                candidates.push_back({stable_hash(name, own_seed), &service, upstream.get()});
            }
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b) { return a.rank_ < b.rank_; });
    for (const auto& chosen : candidates) {
        const auto& service = *chosen.service_;
        auto& upstream = *chosen.upstream_;
        const bool probed = std::any_of(targets.begin(), targets.end(), [&](const probe_target& target) {
            return target.service_ == service.name() && target.upstream_ == upstream.name();
        });
        const auto permit = upstream.gate().take(send_purpose::reachability_probe, clock_.now());
        if (probed || !permit) {
            continue;
        }
        const auto period = upstream.gate().limit().active() ? reachability_probe_period_of_limited
                                                             : reachability_probe_period;
        targets.push_back({*permit, service.name(), upstream.name(), upstream.config().ip_,
                           upstream.config().port_, service.config().policy_.health_path_, period});
        if (targets.size() >= reachability_probe_targets) {
            return;
        }
    }
}

void registry_node::on_probe_result(const probe_target& target, const probe_result& result)
{
    auto& engine = call_path_.engine();
    const auto now = clock_.now();
    const auto* upstream = engine.find_upstream(target.service_, target.upstream_);
    probes_of_limited_upstreams_ += upstream != nullptr && upstream->gate().limit().active() ? 1 : 0;
    engine.on_probe(target.service_, target.upstream_, result.answered_, result.healthy_, now);
    if (result.answered_) {
        engine.reachability().on_response(result.on_new_connection_);
    }
    else {
        engine.reachability().on_failure(target.upstream_, now);
        // What a node that is cut off cannot reach may well be reached by the others.
        if (!engine.reachability().cut_off(now)) {
            peers_.record_unanswered_probe(target.service_, target.upstream_);
        }
        return;
    }
    engine.on_probe_report(target.service_, target.upstream_, result.self_);
    if (result.self_.load_) {
        engine.on_load(target.service_, target.upstream_, *result.self_.load_, now);
        peers_.record_load(target.service_, target.upstream_, *result.self_.load_, result.healthy_, true);
        engine.apply_loads();
    }
}

void view_client::fetch(const peer& from, std::uint64_t after_revision, duration timeout, view_callback done)
{
    fetch_request request;
    request.ip_ = from.ip_;
    request.port_ = from.control_port_;
    request.target_ =
        "/v1/view?after=" + std::to_string(after_revision) + "&vf=" + std::to_string(view_format);
    request.timeout_ = timeout;
    anvilpost::fetch(loop_, request, [done = std::move(done)](const fetch_result& result) {
        constexpr int ok = 200;
        done(result.status_ == ok ? decode_view_message(result.body_) : std::nullopt);
    });
}

page registry_node::view_page(const std::string& query) const
{
    constexpr int unavailable = 503;
    if (!follower_.complete()) {
        return {unavailable, "{\"title\":\"no_view_yet\",\"status\":503}\n", "application/problem+json"};
    }
    view_message message;
    const std::string after = query_parameter(query, "after");
    const auto revision = std::strtoull(after.c_str(), nullptr, 10);
    message.revision_ = follower_.view().revision();
    message.age_ = follower_.age();
    message.known_for_ = follower_.known_for();
    message.items_ = follower_.view().changes_after(revision, message.is_snapshot_);
    message.limit_to_format(std::atoi(query_parameter(query, "vf").c_str()));
    return {200, encode(message), "application/cbor"};
}

void registry_node::on_store_changes(const std::vector<stored_item>& changes)
{
    const auto epoch = epoch_of(follower_.view().revision());
    if (store_epoch_ && epoch != *store_epoch_) {
        write_log(log_level::warning, "the store was restored from an older copy",
                  {{"epoch", epoch}, {"epoch_before", *store_epoch_}, {"changes", changes.size()}});
    }
    store_epoch_ = epoch;
    if (registry_.apply(changes)) {
        apply_effective_configuration();
    }
}

/// The engine and the exchange have stopped using the upstream already. The registry remembers it beyond this
/// incarnation's entry; it is told later, since the engine must not get a configuration inside its events.
void registry_node::mark_leaving_later(const std::string& service, const std::string& upstream)
{
    const auto* tracker = call_path_.engine().find_upstream(service, upstream);
    const std::string incarnation = tracker == nullptr ? "" : tracker->config().incarnation_;
    loop_.defer([this, upstream, incarnation] {
        if (registry_.mark_leaving(upstream, incarnation)) {
            apply_effective_configuration();
        }
    });
}

void registry_node::apply_effective_configuration()
{
    if (!registry_.configured()) {
        return;
    }
    const auto effective = registry_.effective();
    call_path_.apply(effective);
    peers_.on_configuration(effective);
    next_probe_choice_ = {}; // Probes to upstreams that may get none any more stop at the next tick.
    dispatch_.on_configuration(effective);
    call_path_.callers().set_configured(true);
}

bool registry_node::ready() const
{
    return call_path_.stage() == node_stage::running && registry_.configured();
}

void registry_node::on_terminate()
{
    peers_.announce_stopping();
    dispatch_.announce_stopping();
    prober_.set_targets({});
    call_path_.terminate();
}

nlohmann::json registry_node::status() const
{
    return {{"node", settings_.node_},
            {"data_centre", settings_.data_centre_},
            {"stage", name_of(call_path_.stage())},
            {"ready", ready()},
            {"view",
             {{"revision", number_of(follower_.view().revision())},
              {"store_epoch", epoch_of(follower_.view().revision())},
              {"age_ms", follower_.complete() ? milliseconds(follower_.age()) : -1},
              {"store_reachable", follower_.store_reachable()},
              {"store_access", name_of(follower_.access())}}},
            {"peers", peer_status()},
            {"duties",
             {{"store_rank", peers_.duties().store_rank()},
              {"leads", peers_.duties().leads()},
              {"probes", prober_.targets()}}},
            {"dispatch", dispatch_status(dispatch_)},
            {"upstreams", registry_.size()},
            {"reaches_upstreams", !cut_off_},
            {"in_flight", call_path_.callers().open_exchanges()},
            {"quotas", describe_quotas(peers_.quotas())},
            {"services", call_path_.service_status()}};
}

nlohmann::json registry_node::peer_status() const
{
    nlohmann::json known = nlohmann::json::object();
    for (const auto* other : peers_.peers().live(clock_.now())) {
        known[other->name_] = {{"data_centre", other->data_centre_}, {"ip", other->ip_}};
    }
    return known;
}

std::string registry_node::metrics() const
{
    std::string text = call_path_.metrics();
    const auto& follower = follower_.counters();
    add_metric(text, "store_calls_total", "counter", follower.store_calls_);
    add_metric(text, "store_failures_total", "counter", follower.store_failures_);
    add_metric(text, "store_whole_reads_total", "counter", follower.full_reads_);
    add_metric(text, "store_restores_seen_total", "counter", follower.store_restores_);
    add_metric(text, "view_changes_from_peers_total", "counter", follower.changes_from_peers_);
    add_metric(text, "view_revision", "gauge", number_of(follower_.view().revision()));
    add_metric(text, "view_store_epoch", "gauge", epoch_of(follower_.view().revision()));
    add_metric(text, "views_overdue_total", "counter", views_overdue_);
    add_metric(text, "view_update_age_max_ms", "gauge", milliseconds(max_update_age_));
    add_metric(text, "view_update_delay_max_ms", "gauge", milliseconds(max_update_delay_));
    add_metric(text, "registry_entries_refused_total", "counter", registry_.refused_entries());
    const auto& exchange = peers_.counters();
    add_metric(text, "peers_live", "gauge", peers_.peers().live(clock_.now()).size());
    add_metric(text, "peer_messages_sent_total", "counter", exchange.messages_sent_);
    add_metric(text, "peer_bytes_sent_total", "counter", exchange.bytes_sent_);
    add_metric(text, "peer_messages_received_total", "counter", exchange.messages_received_);
    add_metric(text, "peer_messages_unreadable_total", "counter", exchange.unreadable_);
    add_metric(text, "peer_messages_duplicate_total", "counter", exchange.duplicates_);
    add_metric(text, "peer_datagrams_dropped_total", "counter", datagrams_.counters().dropped_);
    add_metric(text, "view_fetches_total", "counter", view_fetcher_.counters().started_);
    add_metric(text, "view_fetches_failed_total", "counter", view_fetcher_.counters().failed_);
    add_metric(text, "probes_sent_total", "counter", prober_.sent());
    add_metric(text, "probes_unanswered_total", "counter", prober_.unanswered());
    add_metric(text, "reaches_upstreams", "gauge", cut_off_ ? 0 : 1);
    add_metric(text, "probes_of_limited_upstreams_total", "counter", probes_of_limited_upstreams_);
    add_quota_metrics(text, peers_.quotas());
    add_metric(text, "event_loop_late_total", "counter", late_ticks_);
    add_metric(text, "log_lines_dropped_total", "counter", dropped_log_lines());
    add_dispatch_metrics(text, dispatch_);
    return text;
}

page_table registry_node::control_pages()
{
    page_table pages;
    pages["/v1/status"] = [this](const std::string&) { return page{200, status().dump() + "\n"}; };
    pages["/metrics"] = [this](const std::string&) {
        return page{200, metrics(), "text/plain; version=0.0.4"};
    };
    pages["/v1/view"] = [this](const std::string& query) { return view_page(query); };
    return pages;
}

} // namespace anvilpost
