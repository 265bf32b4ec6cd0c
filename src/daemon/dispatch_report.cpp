// Status, metrics and log lines of dispatch, as client and as dispatcher.
#include "daemon/dispatch_report.h"

#include "adapters/logging/json_log.h"
#include "daemon/call_path.h"

namespace anvilpost {

nlohmann::json dispatch_status(const dispatch_exchange& dispatch)
{
    nlohmann::json dispatchers = nlohmann::json::object();
    for (const auto& service : dispatch.services()) {
        const auto& ranked = dispatch.selection().ranked(service);
        if (!ranked.empty()) {
            dispatchers[service] = ranked.front();
        }
    }
    return {{"on", dispatch.on()},
            {"dispatchers", dispatchers},
            {"slots_held", dispatch.client().held()},
            {"slot_requests", dispatch.client().waiting()},
            {"granted_to_nodes", dispatch.own_dispatcher().granted()},
            {"requests_of_nodes_waiting", dispatch.own_dispatcher().waiting()}};
}

void add_dispatch_metrics(std::string& text, const dispatch_exchange& dispatch)
{
    const auto& client = dispatch.client().counters();
    add_metric(text, "dispatch_on", "gauge", dispatch.on() ? 1 : 0);
    add_metric(text, "slots_asked_total", "counter", client.asked_);
    add_metric(text, "slot_requests_repeated_total", "counter", client.repeated_);
    add_metric(text, "slots_granted_total", "counter", client.granted_);
    add_metric(text, "slots_declined_total", "counter", client.declined_);
    add_metric(text, "slots_refused_total", "counter", client.refused_);
    add_metric(text, "slot_requests_unanswered_total", "counter", client.unanswered_);
    add_metric(text, "dispatchers_silent_total", "counter", client.suspected_);
    const auto& own = dispatch.own_dispatcher().counters();
    add_metric(text, "dispatcher_requests_total", "counter", own.requests_);
    add_metric(text, "dispatcher_grants_total", "counter", own.granted_);
    add_metric(text, "dispatcher_refusals_total", "counter", own.refused_);
    add_metric(text, "dispatcher_grants_expired_total", "counter", own.expired_);
    add_metric(text, "dispatcher_slots_taken_over_total", "counter", own.took_over_);
    const auto& sent = dispatch.counters();
    add_metric(text, "dispatch_messages_sent_total", "counter", sent.messages_sent_);
    add_metric(text, "dispatch_bytes_sent_total", "counter", sent.bytes_sent_);
    add_metric(text, "dispatch_messages_received_total", "counter", sent.messages_received_);
    add_metric(text, "dispatch_messages_unreadable_total", "counter", sent.unreadable_);
    add_metric(text, "dispatch_messages_stale_total", "counter", sent.stale_);
}

void slot_refusal_log::add(const slot_refusal& refused)
{
    const auto suppressed = limiter_.admit(clock_.now());
    if (!suppressed) {
        return;
    }
    const auto milliseconds = [](duration length) {
        return std::chrono::duration<double, std::milli>(length).count();
    };
    write_log(log_level::info, "slot refused",
              {{"service", refused.service_},
               {"priority", refused.priority_},
               {"work_ms", milliseconds(refused.work_)},
               {"to_objective_ms", milliseconds(refused.to_objective_)},
               {"to_deadline_ms", milliseconds(refused.to_deadline_)},
               {"held", name_of(refused.held_)},
               {"offered_finish_ms", milliseconds(refused.offered_finish_)},
               {"typical_slowdown", refused.typical_slowdown_},
               {"slots", refused.slots_},
               {"granted", refused.granted_},
               {"waiting", refused.waiting_},
               {"suppressed", *suppressed}});
}

} // namespace anvilpost
