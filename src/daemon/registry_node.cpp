// Wiring and life cycle of a node with a registry.
#include "daemon/registry_node.h"

#include "adapters/logging/json_log.h"

namespace anvilpost {
namespace {

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

void log_registry_event(const registry_event& what)
{
    const bool refused = what.kind_ == registry_event::kind::configuration_refused ||
                         what.kind_ == registry_event::kind::entry_refused;
    write_log(refused ? log_level::warning : log_level::info, name_of(what.kind_),
              {{"name", what.name_}, {"revision", what.revision_}, {"detail", what.detail_}});
}

} // namespace

registry_node::registry_node(event_loop& loop, const registry_node_settings& settings,
                             registry_store_port& store, const document_codec& codec)
    : loop_(loop), settings_(settings), decisions_(clock_),
      path_(loop, clock_, random_, claims_, decisions_, settings.call_path_),
      registry_(codec, clock_, settings.follower_.lapse_grace_),
      follower_(store, clock_, random_, settings.follower_),
      ready_server_(loop, settings.ready_.ip_, settings.ready_.port_,
                    ready_pages(settings.ready_path_, [this] { return ready(); })),
      control_server_(loop, settings.control_.ip_, settings.control_.port_, control_pages()),
      tick_(loop, [this] { on_tick(); }), terminate_(loop, SIGTERM, [this] { on_terminate(); }),
      interrupt_(loop, SIGINT, [this] { on_terminate(); })
{
    path_.callers().set_configured(false);
    registry_.on_event_ = log_registry_event;
    follower_.on_change([this](const std::vector<stored_item>& changes) { on_store_changes(changes); });
}

int registry_node::run()
{
    write_log(log_level::info, "node started",
              {{"listen", settings_.call_path_.listen_port_}, {"data_centre", settings_.data_centre_}});
    on_tick();
    path_.arm_wakeup();
    loop_.run();
    const auto cut_off = path_.callers().open_exchanges();
    write_log(log_level::info, "node stopped", {{"requests_cut_off", cut_off}});
    return cut_off == 0 ? 0 : 1;
}

void registry_node::on_tick()
{
    follower_.on_tick();
    if (registry_.drop_lapsed()) {
        put_in_force();
    }
    tick_.start(view_follower::tick_period);
}

void registry_node::on_store_changes(const std::vector<stored_item>& changes)
{
    if (registry_.apply(changes)) {
        put_in_force();
    }
}

void registry_node::put_in_force()
{
    if (!registry_.configured()) {
        return;
    }
    path_.apply(registry_.effective());
    path_.callers().set_configured(true);
}

bool registry_node::ready() const
{
    return path_.stage() == node_stage::running && registry_.configured();
}

void registry_node::on_terminate()
{
    path_.terminate();
}

nlohmann::json registry_node::status() const
{
    const auto milliseconds = [](duration length) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
    };
    return {{"node", settings_.node_},
            {"data_centre", settings_.data_centre_},
            {"stage", name_of(path_.stage())},
            {"ready", ready()},
            {"view",
             {{"revision", follower_.view().revision()},
              {"age_ms", follower_.complete() ? milliseconds(follower_.age()) : -1},
              {"store_reachable", follower_.store_reachable()}}},
            {"upstreams", registry_.size()},
            {"in_flight", path_.callers().open_exchanges()},
            {"services", path_.service_status()}};
}

std::string registry_node::metrics() const
{
    std::string text = path_.metrics();
    const auto& follower = follower_.counters();
    add_metric(text, "store_calls_total", "counter", follower.store_calls_);
    add_metric(text, "store_failures_total", "counter", follower.store_failures_);
    add_metric(text, "store_whole_reads_total", "counter", follower.whole_reads_);
    add_metric(text, "view_changes_from_peers_total", "counter", follower.changes_from_peers_);
    add_metric(text, "view_revision", "gauge", follower_.view().revision());
    add_metric(text, "registry_entries_refused_total", "counter", registry_.refused_entries());
    add_metric(text, "log_lines_dropped_total", "counter", dropped_log_lines());
    return text;
}

page_table registry_node::control_pages()
{
    page_table pages;
    pages["/v1/status"] = [this](const std::string&) { return page{200, status().dump() + "\n"}; };
    pages["/metrics"] = [this](const std::string&) {
        return page{200, metrics(), "text/plain; version=0.0.4"};
    };
    return pages;
}

} // namespace anvilpost
