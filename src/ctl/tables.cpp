// Formats JSON documents of a node as tables with aligned columns.
#include "ctl/tables.h"

#include <algorithm>
#include <cstdio>
#include <vector>

namespace anvilpost {
namespace {

using table_row = std::vector<std::string>;

std::string format_table(const std::vector<table_row>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            text += row[i] + (last ? "" : std::string(widths[i] - row[i].size() + 2, ' '));
        }
        text += "\n";
    }
    return text;
}

/// Formats a number; returns "-" for anything else, such as a missing value.
std::string format_number(const nlohmann::json& value, const char* format)
{
    if (!value.is_number()) {
        return "-";
    }
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, format, value.get<double>());
    return buffer;
}

/// Returns a string without its quotes and any other value as JSON.
std::string to_text(const nlohmann::json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// What keeps requests from an upstream, for instance "leaving: peer, for 2.1 s".
std::string restriction_note(const nlohmann::json& restriction)
{
    constexpr double ms_per_s = 1000;
    const auto seconds = [&](const char* field) {
        return format_number(restriction[field].get<double>() / ms_per_s, "%.1f") + " s";
    };
    std::string note = restriction.value("because", "");
    if (restriction.contains("source")) {
        note += ": " + restriction.value("source", "");
    }
    if (restriction.contains("per_second")) {
        note += ": " + format_number(restriction["per_second"], "%.3g") + "/s of all nodes";
    }
    if (restriction.contains("for_ms")) {
        note += ", for " + seconds("for_ms");
    }
    if (restriction.contains("ends_in_ms")) {
        note += ", ends in " + seconds("ends_in_ms");
    }
    return note;
}

} // namespace

std::string plan_table(const nlohmann::json& plan)
{
    std::string text = "plan " + plan.value("plan", "") + " on revision " +
                       std::to_string(plan.value("base_revision", 0ULL)) + "\n";
    for (const auto& line : plan["differences"]) {
        text += "  " + to_text(line) + "\n";
    }
    if (plan["differences"].empty()) {
        text += "  (no difference)\n";
    }
    for (const auto& line : plan["warnings"]) {
        text += "warning: " + to_text(line) + "\n";
    }
    return text;
}

std::string status_table(const nlohmann::json& status)
{
    // A node with a registry keeps what it knows from the store in its view.
    const auto& known = status.contains("view") ? status["view"] : status;
    std::string text = "node " + status.value("node", "") + " (" + status.value("data_centre", "") + "), " +
                       status.value("stage", "") + ", revision " +
                       std::to_string(known.value("revision", 0ULL)) +
                       (known.contains("store_epoch") ? " of epoch " + known["store_epoch"].dump() : "") +
                       ", store " + (known.value("store_reachable", false) ? "reachable" : "not reachable") +
                       (status.value("reaches_upstreams", true) ? "" : ", REACHES NO UPSTREAM") + ", " +
                       std::to_string(status.value("in_flight", 0ULL)) + " in flight\n";
    std::vector<table_row> rows{{"SERVICE", "UPSTREAM", "STATE", "IN FLIGHT", "NOTE"}};
    for (const auto& [service, entry] : status["services"].items()) {
        if (!entry.contains("upstreams")) {
            continue;
        }
        for (const auto& [name, upstream] : entry["upstreams"].items()) {
            std::string note = upstream.value("ejected", false) ? "kept out after failures" : "";
            if (upstream.contains("restricted")) {
                note = restriction_note(upstream["restricted"]);
            }
            rows.push_back({service, name, upstream.value("state", ""),
                            format_number(upstream["in_flight"], "%.0f"), note});
        }
    }
    return text + format_table(rows);
}

std::string organisations_table(const nlohmann::json& status)
{
    const auto quotas = status.value("quotas", nlohmann::json::object());
    const std::string coordinator = quotas.value("coordinator", "");
    std::string text = "node " + status.value("node", "") + ", coordinator " +
                       (coordinator.empty() ? "none" : coordinator) + "\n";
    std::vector<table_row> rows{{"ORGANISATION", "RATE", "BURST", "USED IN WINDOW", "ADMITTED", "REFUSED"}};
    const auto organisations = quotas.value("organisations", nlohmann::json::object());
    for (const auto& [name, entry] : organisations.items()) {
        rows.push_back({name, format_number(entry.value("rate_per_second", nlohmann::json()), "%.4g"),
                        format_number(entry.value("burst", nlohmann::json()), "%.4g"),
                        format_number(entry.value("used_in_window", nlohmann::json()), "%.0f"),
                        format_number(entry.value("admitted", nlohmann::json()), "%.0f"),
                        format_number(entry.value("refused", nlohmann::json()), "%.0f")});
    }
    return text + format_table(rows);
}

std::string burn_table(const nlohmann::json& report)
{
    std::string text = "fleet: " + format_number(report["nodes_heard"], "%.0f") + " of " +
                       format_number(report["nodes_known"], "%.0f") + " nodes";
    for (const auto& missing : report["nodes_missing"]) {
        text += ", missing " + to_text(missing);
    }
    text += "\n";
    std::vector<table_row> rows{{"SERVICE", "OBJECTIVE", "TARGET", "CALLS", "BAD", "BUDGET LEFT", "BURN 5m",
                                 "BURN 1h", "BURN 30m", "BURN 6h", "ALERT", "MOSTLY BY"}};
    for (const auto& [service, entry] : report["services"].items()) {
        for (const auto* objective : {"availability", "latency"}) {
            const auto& row = entry[objective];
            const auto& burn = row["burn_rate"];
            rows.push_back({service, objective, format_number(row["target"], "%.4f"),
                            format_number(row["calls"], "%.0f"), format_number(row["bad"], "%.0f"),
                            format_number(row["budget_left"], "%.2f"), format_number(burn["5m"], "%.2f"),
                            format_number(burn["1h"], "%.2f"), format_number(burn["30m"], "%.2f"),
                            format_number(burn["6h"], "%.2f"), row.value("alert", ""),
                            row.value("mostly_by", "")});
        }
    }
    text += format_table(rows);
    for (const auto& [service, entry] : report["services"].items()) {
        text += service + " probes: " + format_number(entry["probes"]["spent_per_second"], "%.3f") + " of " +
                format_number(entry["probes"]["budget_per_second"], "%.3f") + " per second\n";
    }
    return text;
}

} // namespace anvilpost
