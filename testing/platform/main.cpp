// Stand-in for the platform in tests: implements the subset of Consul's HTTP API that anvilpost uses, with
// faults that can be set at run time under /stand-in/. One process can listen on several ports that share
// their data but have separate faults, so that the store can be down for some nodes only.
#include "adapters/settings_source.h"
#include "adapters/store/base64.h"
#include "stand_in_server.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <vector>

ABSL_FLAG(std::string, ports, "8500", "Comma-separated list of ports to listen on, on 127.0.0.1.");

namespace anvilpost::testing {
namespace {

using nlohmann::json;

/// A value of the key-value store.
struct stored_entry {
    std::string value_;
    std::uint64_t version_ = 0; ///< Consul's ModifyIndex.
    std::string session_;       ///< Session that last acquired the key; empty when none did.
};

/// A Consul session: a lease that expires unless it is renewed.
struct session_lease {
    time_point expires_at_{};
    duration ttl_{};
};

/// Faults of one port, set by a PUT to /stand-in/faults.
struct platform_faults {
    std::string outage_;         ///< "" (none), "refuse" (connections are closed) or "hang" (no response).
    int delay_ms_ = 0;           ///< Added to each response.
    int lose_write_answers_ = 0; ///< Number of writes that are applied without a response.
    int late_writes_ = 0;        ///< Number of writes that are applied after a delay, without a response.
    int late_write_delay_ms_ = 1000; ///< Delay of late writes.
};

/// Requests received on one port.
struct port_counters {
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
};

/// The key-value store, sessions and VM list, served on any number of ports.
class platform {
public:
    explicit platform(event_loop& loop) : loop_(loop) {}

    void listen(std::uint16_t port)
    {
        auto added = std::make_unique<port_endpoint>();
        port_endpoint* endpoint = added.get();
        endpoint->listener_ = std::make_unique<listener>(
            loop_, "127.0.0.1", port, stand_in_listener_limits(),
            [this, endpoint](evhttp_request* request) { on_request(*endpoint, request); });
        endpoints_.push_back(std::move(added));
    }

private:
    /// A listening port with its faults and counters.
    struct port_endpoint {
        std::unique_ptr<listener> listener_;
        platform_faults faults_;
        port_counters counters_;
    };

    /// A blocking query that waits for its key to change.
    struct waiting_watch {
        evhttp_request* request_ = nullptr; ///< nullptr once the client has closed its connection.
        std::string key_;
        std::uint64_t version_ = 0; ///< Version that the client knows.
        std::unique_ptr<timer> timeout_;
    };

    void on_request(port_endpoint& endpoint, evhttp_request* request)
    {
        endpoint.listener_->on_request_complete(request);
        const std::string path = path_of(request);
        if (path.starts_with("/stand-in/")) {
            handle_control_request(endpoint, request, path);
            return;
        }
        if (endpoint.faults_.outage_ == "refuse") {
            close_without_reply(loop_, request);
            return;
        }
        if (endpoint.faults_.outage_ == "hang") {
            return;
        }
        if (endpoint.faults_.delay_ms_ > 0) {
            run_after_delay(endpoint.faults_.delay_ms_, request,
                            [this, &endpoint, path](evhttp_request* open_request) {
                                serve_api_request(endpoint, open_request, path);
                            });
            return;
        }
        serve_api_request(endpoint, request, path);
    }

    /// Runs `work` after a delay, unless the client has closed its connection by then.
    void run_after_delay(int delay_ms, evhttp_request* request, std::function<void(evhttp_request*)> work)
    {
        auto open_request = std::make_shared<evhttp_request*>(request);
        auto* slot = open_request.get();
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection*, void* arg) { *static_cast<evhttp_request**>(arg) = nullptr; }, slot);
        auto delay_timer = std::make_shared<std::unique_ptr<timer>>();
        *delay_timer = std::make_unique<timer>(loop_, [this, open_request, delay_timer,
                                                       work = std::move(work)] {
            if (*open_request != nullptr) {
                evhttp_connection_set_closecb(evhttp_request_get_connection(*open_request), nullptr, nullptr);
                work(*open_request);
            }
            loop_.defer([delay_timer] { delay_timer->reset(); });
        });
        (*delay_timer)->start(std::chrono::milliseconds(delay_ms));
    }

    void serve_api_request(port_endpoint& endpoint, evhttp_request* request, const std::string& path)
    {
        const std::string kv = "/v1/kv/";
        const auto method = evhttp_request_get_command(request);
        if (path.starts_with(kv) && method == EVHTTP_REQ_GET) {
            handle_get(endpoint, request, path.substr(kv.size()));
        }
        else if (path.starts_with(kv) && method == EVHTTP_REQ_PUT) {
            handle_put(endpoint, request, path.substr(kv.size()));
        }
        else if (path.starts_with("/v1/session/")) {
            ++endpoint.counters_.writes_;
            handle_session_request(request, path);
        }
        else if (path == "/v1/catalog/nodes") {
            ++endpoint.counters_.reads_;
            reply(request, 200, vm_list_.dump());
        }
        else {
            reply(request, 404, "");
        }
    }

    void handle_get(port_endpoint& endpoint, evhttp_request* request, const std::string& key)
    {
        const std::string index = query_of(request, "index");
        if (index.empty()) {
            ++endpoint.counters_.reads_;
            reply_with_entry(request, key);
            return;
        }
        ++endpoint.counters_.watches_;
        const std::uint64_t known_version = std::stoull(index);
        if (known_version == 0 || version_of(key) != known_version) {
            reply_with_entry(request, key);
            return;
        }
        const std::string wait = query_of(request, "wait");
        wait_for_change(request, key, known_version, wait.empty() ? 300'000 : std::stoi(wait));
    }

    void wait_for_change(evhttp_request* request, const std::string& key, std::uint64_t known_version,
                         int wait_ms)
    {
        auto added = std::make_unique<waiting_watch>();
        waiting_watch* watch = added.get();
        watch->request_ = request;
        watch->key_ = key;
        watch->version_ = known_version;
        watch->timeout_ = std::make_unique<timer>(loop_, [this, watch] { finish_watch(watch, true); });
        watch->timeout_->start(std::chrono::milliseconds(wait_ms));
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection*, void* arg) {
                auto* closed = static_cast<waiting_watch*>(arg);
                closed->request_ = nullptr;
            },
            watch);
        watches_.push_back(std::move(added));
    }

    /// Removes a watch and, with `send_reply`, replies to it with the current value.
    void finish_watch(waiting_watch* watch, bool send_reply)
    {
        evhttp_request* request = watch->request_;
        const std::string key = watch->key_;
        watch->timeout_->stop();
        if (request != nullptr) {
            evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        }
        const auto found = std::find_if(watches_.begin(), watches_.end(),
                                        [watch](const auto& entry) { return entry.get() == watch; });
        // This may run in the watch's own timer callback, so the watch is destroyed after it returns.
        const std::shared_ptr<waiting_watch> ended = std::move(*found);
        watches_.erase(found);
        loop_.defer([ended] {});
        if (send_reply && request != nullptr) {
            reply_with_entry(request, key);
        }
    }

    /// Returns the version of a key, or 0 when it does not exist.
    std::uint64_t version_of(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? 0 : found->second.version_;
    }

    void reply_with_entry(evhttp_request* request, const std::string& key)
    {
        const auto found = entries_.find(key);
        if (found == entries_.end()) {
            reply(request, 404, "");
            return;
        }
        const json document = json::array({{{"Key", key},
                                            {"Value", encode_base64(found->second.value_)},
                                            {"ModifyIndex", found->second.version_},
                                            {"Session", found->second.session_}}});
        reply(request, 200, document.dump());
    }

    void handle_put(port_endpoint& endpoint, evhttp_request* request, const std::string& key)
    {
        ++endpoint.counters_.writes_;
        const std::string body = body_of(request);
        const std::string cas = query_of(request, "cas");
        const std::string acquire = query_of(request, "acquire");
        if (endpoint.faults_.late_writes_ > 0) {
            --endpoint.faults_.late_writes_;
            auto delay_timer = std::make_shared<std::unique_ptr<timer>>();
            *delay_timer = std::make_unique<timer>(loop_, [this, delay_timer, key, body, cas, acquire] {
                apply_put(key, body, cas, acquire);
                loop_.defer([delay_timer] { delay_timer->reset(); });
            });
            (*delay_timer)->start(std::chrono::milliseconds(endpoint.faults_.late_write_delay_ms_));
            close_without_reply(loop_, request);
            return;
        }
        const bool written = apply_put(key, body, cas, acquire);
        if (endpoint.faults_.lose_write_answers_ > 0) {
            --endpoint.faults_.lose_write_answers_;
            close_without_reply(loop_, request);
            return;
        }
        reply(request, 200, written ? "true" : "false");
    }

    /// Writes the value if the check-and-set version (`cas`) and the session (`acquire`) allow it; either may
    /// be empty. Returns whether the value was written.
    bool apply_put(const std::string& key, const std::string& body, const std::string& cas,
                   const std::string& acquire)
    {
        if (!cas.empty() && std::stoull(cas) != version_of(key)) {
            return false;
        }
        if (!acquire.empty() && !can_acquire(key, acquire)) {
            return false;
        }
        constexpr std::size_t max_value_bytes = 1'000'000;
        if (body.size() > max_value_bytes) {
            return false;
        }
        auto& entry = entries_[key];
        entry.value_ = body;
        entry.version_ = ++last_version_;
        entry.session_ = acquire;
        const auto matching_watches = std::vector<waiting_watch*>(watches_for(key));
        for (auto* watch : matching_watches) {
            finish_watch(watch, true);
        }
        return true;
    }

    std::vector<waiting_watch*> watches_for(const std::string& key) const
    {
        std::vector<waiting_watch*> found;
        for (const auto& watch : watches_) {
            if (watch->key_ == key) {
                found.push_back(watch.get());
            }
        }
        return found;
    }

    /// Whether a session is alive and no other live session holds the key.
    bool can_acquire(const std::string& key, const std::string& session)
    {
        const auto alive = [&](const std::string& id) {
            const auto found = sessions_.find(id);
            return found != sessions_.end() && found->second.expires_at_ > clock_.now();
        };
        const auto holder = entries_.find(key);
        const bool free = holder == entries_.end() || holder->second.session_.empty() ||
                          holder->second.session_ == session || !alive(holder->second.session_);
        return alive(session) && free;
    }

    /// Creates, renews or destroys a session.
    void handle_session_request(evhttp_request* request, const std::string& path)
    {
        const std::string create = "/v1/session/create";
        const std::string renew = "/v1/session/renew/";
        const std::string destroy = "/v1/session/destroy/";
        if (path == create) {
            const json document = json::parse(body_of(request), nullptr, false);
            const int ttl_s =
                document.is_object() ? std::stoi(document.value("TTL", std::string("10s"))) : 10;
            const std::string id = "session-" + std::to_string(++last_session_);
            const duration ttl = std::chrono::seconds(ttl_s);
            sessions_[id] = {clock_.now() + ttl, ttl};
            reply(request, 200, json{{"ID", id}}.dump());
            return;
        }
        if (path.starts_with(renew)) {
            const auto found = sessions_.find(path.substr(renew.size()));
            const bool alive = found != sessions_.end() && found->second.expires_at_ > clock_.now();
            if (alive) {
                found->second.expires_at_ = clock_.now() + found->second.ttl_;
            }
            reply(request, alive ? 200 : 404, "[]");
            return;
        }
        if (path.starts_with(destroy)) {
            sessions_.erase(path.substr(destroy.size()));
        }
        reply(request, 200, "true");
    }

    /// Handles the paths under /stand-in/: reads counters, sets faults or the VM list.
    void handle_control_request(port_endpoint& endpoint, evhttp_request* request, const std::string& path)
    {
        if (path == "/stand-in/counters") {
            reply(request, 200,
                  json{{"reads", endpoint.counters_.reads_},
                       {"writes", endpoint.counters_.writes_},
                       {"watches", endpoint.counters_.watches_},
                       {"waiting_watches", watches_.size()}}
                      .dump());
            return;
        }
        const json requested = json::parse(body_of(request), nullptr, false);
        if (!requested.is_object() && !requested.is_array()) {
            reply(request, 400, "the body must be JSON");
            return;
        }
        if (path == "/stand-in/vms") {
            vm_list_ = requested;
        }
        else if (path == "/stand-in/faults") {
            endpoint.faults_.outage_ = requested.value("down", std::string());
            endpoint.faults_.delay_ms_ = requested.value("delay_ms", 0);
            endpoint.faults_.lose_write_answers_ = requested.value("lose_write_answers", 0);
            endpoint.faults_.late_writes_ = requested.value("late_writes", 0);
            endpoint.faults_.late_write_delay_ms_ = requested.value("late_write_ms", 1000);
            if (!endpoint.faults_.outage_.empty()) {
                close_watches();
            }
        }
        reply(request, 200, "{}");
    }

    /// Closes the connections of all waiting watches.
    void close_watches()
    {
        while (!watches_.empty()) {
            evhttp_request* request = watches_.back()->request_;
            finish_watch(watches_.back().get(), false);
            if (request != nullptr) {
                close_without_reply(loop_, request);
            }
        }
    }

    event_loop& loop_;
    steady_clock clock_;

    std::map<std::string, stored_entry> entries_;
    std::map<std::string, session_lease> sessions_;
    std::deque<std::unique_ptr<waiting_watch>> watches_;
    json vm_list_ = json::array();
    std::uint64_t last_version_ = 0;
    std::uint64_t last_session_ = 0;
    std::vector<std::unique_ptr<port_endpoint>> endpoints_;
};

} // namespace
} // namespace anvilpost::testing

int main(int argc, char** argv)
{
    const auto flags = anvilpost::read_flags(argc, argv, "testing/platform/main.cpp", "STAND_IN_");
    if (!anvilpost::report_problems("platform_stand_in", flags.problems_)) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    anvilpost::event_loop loop;
    anvilpost::testing::platform platform(loop);
    std::string ports = absl::GetFlag(FLAGS_ports);
    while (!ports.empty()) {
        const auto comma = ports.find(',');
        platform.listen(static_cast<std::uint16_t>(std::stoi(ports.substr(0, comma))));
        ports = comma == std::string::npos ? "" : ports.substr(comma + 1);
    }
    const anvilpost::signal_watch terminate(loop, SIGTERM, [] { std::quick_exit(0); });
    loop.run();
    return 0;
}
