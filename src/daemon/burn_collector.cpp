// Requests the burn counts of every other node over its admin interface and sums them into one report,
// which is complete when each request has finished, failed or timed out.
#include "daemon/burn_collector.h"

#include "adapters/http/http_fetch.h"

#include <memory>

namespace anvilpost {
namespace {

constexpr duration peer_timeout = std::chrono::seconds(2);
constexpr int http_ok = 200;

/// A report that is being assembled; shared by the callbacks of its requests.
struct burn_collection {
    std::map<std::string, service_burn> sums_;
    std::vector<std::string> missing_nodes_; ///< Nodes whose counts could not be fetched.
    std::size_t known_nodes_ = 1;            ///< Nodes known, this one included.
    std::size_t outstanding_requests_ = 0;   ///< Requests that have not finished, failed or timed out.
    configuration config_;
    std::function<void(const api_response&)> done_;
};

/// Adds one node's counts. A node without a usable response is listed as missing.
void add_report(burn_collection& collected, const std::string& name, const fetch_result& result)
{
    try {
        if (result.status_ != http_ok) {
            throw std::runtime_error("no answer");
        }
        for (const auto& [service, burn] : parse_burn_report(nlohmann::json::parse(result.body_))) {
            collected.sums_[service].add(burn);
        }
    }
    catch (const std::exception&) {
        collected.missing_nodes_.push_back(name);
    }
}

void report_totals(const burn_collection& collected)
{
    const auto answered = collected.known_nodes_ - collected.missing_nodes_.size();
    collected.done_(
        {http_ok,
         {{"nodes_known", collected.known_nodes_},
          {"nodes_heard", answered},
          {"nodes_missing", collected.missing_nodes_},
          {"coverage", static_cast<double>(answered) / static_cast<double>(collected.known_nodes_)},
          {"services", describe_burn(collected.sums_, collected.config_)}}});
}

} // namespace

void collect_burn(event_loop& loop, const burn_sources& sources,
                  std::function<void(const api_response&)> done)
{
    auto collected = std::make_shared<burn_collection>();
    collected->sums_ = sources.local_();
    collected->config_ = sources.configuration_();
    collected->done_ = std::move(done);
    const auto peers = sources.peers_();
    collected->known_nodes_ += peers.size();
    collected->outstanding_requests_ = peers.size();
    if (peers.empty()) {
        report_totals(*collected);
        return;
    }
    for (const auto& peer : peers) {
        fetch_request request;
        request.ip_ = peer.admin_ip_;
        request.port_ = peer.admin_port_;
        request.target_ = "/v1/burn/local";
        request.timeout_ = peer_timeout;
        fetch(loop, request, [collected, name = peer.name_](const fetch_result& result) {
            add_report(*collected, name, result);
            if (--collected->outstanding_requests_ == 0) {
                report_totals(*collected);
            }
        });
    }
}

} // namespace anvilpost
