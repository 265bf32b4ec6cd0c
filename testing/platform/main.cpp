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
    std::string text_;
    std::uint64_t version_ = 0; ///< Consul's ModifyIndex.
    std::string session_;       ///< Session that last acquired the key; empty when none did.
};

/// A Consul session: a lease that expires unless it is renewed.
struct lease_session {
    time_point expires_{};
    duration life_{};
};

/// Faults of one port, set by a PUT to /stand-in/faults.
struct platform_faults {
    std::string down_;           ///< "" (none), "refuse" (connections are closed) or "hang" (no response).
    int delay_ms_ = 0;           ///< Added to each response.
    int lose_write_answers_ = 0; ///< Number of writes that are applied without a response.
    int late_writes_ = 0;        ///< Number of writes that are applied after a delay, without a response.
    int late_write_ms_ = 1000;   ///< Delay of late writes.
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
        auto added = std::make_unique<front>();
        front* at = added.get();
        at->listener_ =
            std::make_unique<listener>(loop_, "127.0.0.1", port, generous_limits(),
                                       [this, at](evhttp_request* request) { on_request(*at, request); });
        fronts_.push_back(std::move(added));
    }

private:
    /// A listening port with its faults and counters.
    struct front {
        std::unique_ptr<listener> listener_;
        platform_faults faults_;
        port_counters counters_;
    };

    /// A blocking query that waits for its key to change.
    struct waiting_watch {
        evhttp_request* request_ = nullptr; ///< nullptr once the client has closed its connection.
        std::string key_;
        std::uint64_t version_ = 0; ///< Version that the client knows.
        std::unique_ptr<timer> limit_;
    };

    void on_request(front& at, evhttp_request* request)
    {
        at.listener_->on_request_whole(request);
        const std::string path = path_of(request);
        if (path.starts_with("/stand-in/")) {
            control(at, request, path);
            return;
        }
        if (at.faults_.down_ == "refuse") {
            drop(loop_, request);
            return;
        }
        if (at.faults_.down_ == "hang") {
            return;
        }
        if (at.faults_.delay_ms_ > 0) {
            later(at.faults_.delay_ms_, request,
                  [this, &at, path](evhttp_request* open) { serve(at, open, path); });
            return;
        }
        serve(at, request, path);
    }

    /// Runs `work` after a delay, unless the client has closed its connection by then.
    void later(int delay_ms, evhttp_request* request, std::function<void(evhttp_request*)> work)
    {
        auto open = std::make_shared<evhttp_request*>(request);
        auto* slot = open.get();
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection*, void* arg) { *static_cast<evhttp_request**>(arg) = nullptr; }, slot);
        auto pause = std::make_shared<std::unique_ptr<timer>>();
        *pause = std::make_unique<timer>(loop_, [this, open, pause, work = std::move(work)] {
            if (*open != nullptr) {
                evhttp_connection_set_closecb(evhttp_request_get_connection(*open), nullptr, nullptr);
                work(*open);
            }
            loop_.defer([pause] { pause->reset(); });
        });
        (*pause)->start(std::chrono::milliseconds(delay_ms));
    }

    void serve(front& at, evhttp_request* request, const std::string& path)
    {
        const std::string kv = "/v1/kv/";
        const auto command = evhttp_request_get_command(request);
        if (path.starts_with(kv) && command == EVHTTP_REQ_GET) {
            get(at, request, path.substr(kv.size()));
        }
        else if (path.starts_with(kv) && command == EVHTTP_REQ_PUT) {
            put(at, request, path.substr(kv.size()));
        }
        else if (path.starts_with("/v1/session/")) {
            ++at.counters_.writes_;
            session(request, path);
        }
        else if (path == "/v1/catalog/nodes") {
            ++at.counters_.reads_;
            reply(request, 200, vm_list_.dump());
        }
        else {
            reply(request, 404, "");
        }
    }

    void get(front& at, evhttp_request* request, const std::string& key)
    {
        const std::string index = query_of(request, "index");
        if (index.empty()) {
            ++at.counters_.reads_;
            answer_get(request, key);
            return;
        }
        ++at.counters_.watches_;
        const std::uint64_t known = std::stoull(index);
        if (known == 0 || version_of(key) != known) {
            answer_get(request, key);
            return;
        }
        const std::string wait = query_of(request, "wait");
        wait_for_change(request, key, known, wait.empty() ? 300'000 : std::stoi(wait));
    }

    void wait_for_change(evhttp_request* request, const std::string& key, std::uint64_t known, int wait_ms)
    {
        auto added = std::make_unique<waiting_watch>();
        waiting_watch* watch = added.get();
        watch->request_ = request;
        watch->key_ = key;
        watch->version_ = known;
        watch->limit_ = std::make_unique<timer>(loop_, [this, watch] { finish_watch(watch, true); });
        watch->limit_->start(std::chrono::milliseconds(wait_ms));
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(request),
            [](evhttp_connection*, void* arg) {
                auto* closed = static_cast<waiting_watch*>(arg);
                closed->request_ = nullptr;
            },
            watch);
        watches_.push_back(std::move(added));
    }

    /// Removes a watch and, with `answer`, replies to it with the current value.
    void finish_watch(waiting_watch* watch, bool answer)
    {
        evhttp_request* request = watch->request_;
        const std::string key = watch->key_;
        watch->limit_->stop();
        if (request != nullptr) {
            evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        }
        const auto found = std::find_if(watches_.begin(), watches_.end(),
                                        [watch](const auto& entry) { return entry.get() == watch; });
        auto* owned = found->release();
        watches_.erase(found);
        loop_.defer([owned] { delete owned; });
        if (answer && request != nullptr) {
            answer_get(request, key);
        }
    }

    /// Returns the version of a key, or 0 when it does not exist.
    std::uint64_t version_of(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? 0 : found->second.version_;
    }

    void answer_get(evhttp_request* request, const std::string& key)
    {
        const auto found = entries_.find(key);
        if (found == entries_.end()) {
            reply(request, 404, "");
            return;
        }
        const json document = json::array({{{"Key", key},
                                            {"Value", encode_base64(found->second.text_)},
                                            {"ModifyIndex", found->second.version_},
                                            {"Session", found->second.session_}}});
        reply(request, 200, document.dump());
    }

    void put(front& at, evhttp_request* request, const std::string& key)
    {
        ++at.counters_.writes_;
        const std::string body = body_of(request);
        const std::string cas = query_of(request, "cas");
        const std::string acquire = query_of(request, "acquire");
        if (at.faults_.late_writes_ > 0) {
            --at.faults_.late_writes_;
            auto pause = std::make_shared<std::unique_ptr<timer>>();
            *pause = std::make_unique<timer>(loop_, [this, pause, key, body, cas, acquire] {
                apply_put(key, body, cas, acquire);
                loop_.defer([pause] { pause->reset(); });
            });
            (*pause)->start(std::chrono::milliseconds(at.faults_.late_write_ms_));
            drop(loop_, request);
            return;
        }
        const bool written = apply_put(key, body, cas, acquire);
        if (at.faults_.lose_write_answers_ > 0) {
            --at.faults_.lose_write_answers_;
            drop(loop_, request);
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
        if (!acquire.empty() && !may_acquire(key, acquire)) {
            return false;
        }
        constexpr std::size_t largest_value = 1'000'000;
        if (body.size() > largest_value) {
            return false;
        }
        auto& entry = entries_[key];
        entry.text_ = body;
        entry.version_ = ++last_version_;
        entry.session_ = acquire;
        const auto watching = std::vector<waiting_watch*>(watches_for(key));
        for (auto* watch : watching) {
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
    bool may_acquire(const std::string& key, const std::string& session)
    {
        const auto alive = [&](const std::string& id) {
            const auto found = sessions_.find(id);
            return found != sessions_.end() && found->second.expires_ > clock_.now();
        };
        const auto holder = entries_.find(key);
        const bool free = holder == entries_.end() || holder->second.session_.empty() ||
                          holder->second.session_ == session || !alive(holder->second.session_);
        return alive(session) && free;
    }

    /// Creates, renews or destroys a session.
    void session(evhttp_request* request, const std::string& path)
    {
        const std::string create = "/v1/session/create";
        const std::string renew = "/v1/session/renew/";
        const std::string destroy = "/v1/session/destroy/";
        if (path == create) {
            const json document = json::parse(body_of(request), nullptr, false);
            const int life_s =
                document.is_object() ? std::stoi(document.value("TTL", std::string("10s"))) : 10;
            const std::string id = "session-" + std::to_string(++last_session_);
            const duration life = std::chrono::seconds(life_s);
            sessions_[id] = {clock_.now() + life, life};
            reply(request, 200, json{{"ID", id}}.dump());
            return;
        }
        if (path.starts_with(renew)) {
            const auto found = sessions_.find(path.substr(renew.size()));
            const bool alive = found != sessions_.end() && found->second.expires_ > clock_.now();
            if (alive) {
                found->second.expires_ = clock_.now() + found->second.life_;
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
    void control(front& at, evhttp_request* request, const std::string& path)
    {
        if (path == "/stand-in/counters") {
            reply(request, 200,
                  json{{"reads", at.counters_.reads_},
                       {"writes", at.counters_.writes_},
                       {"watches", at.counters_.watches_},
                       {"waiting_watches", watches_.size()}}
                      .dump());
            return;
        }
        const json wanted = json::parse(body_of(request), nullptr, false);
        if (!wanted.is_object() && !wanted.is_array()) {
            reply(request, 400, "the body must be JSON");
            return;
        }
        if (path == "/stand-in/vms") {
            vm_list_ = wanted;
        }
        else if (path == "/stand-in/faults") {
            at.faults_.down_ = wanted.value("down", std::string());
            at.faults_.delay_ms_ = wanted.value("delay_ms", 0);
            at.faults_.lose_write_answers_ = wanted.value("lose_write_answers", 0);
            at.faults_.late_writes_ = wanted.value("late_writes", 0);
            at.faults_.late_write_ms_ = wanted.value("late_write_ms", 1000);
            if (!at.faults_.down_.empty()) {
                drop_watches();
            }
        }
        reply(request, 200, "{}");
    }

    /// Closes the connections of all waiting watches.
    void drop_watches()
    {
        while (!watches_.empty()) {
            evhttp_request* request = watches_.back()->request_;
            finish_watch(watches_.back().get(), false);
            if (request != nullptr) {
                drop(loop_, request);
            }
        }
    }

    event_loop& loop_;
    steady_clock clock_;

    std::map<std::string, stored_entry> entries_;
    std::map<std::string, lease_session> sessions_;
    std::deque<std::unique_ptr<waiting_watch>> watches_;
    json vm_list_ = json::array();
    std::uint64_t last_version_ = 0;
    std::uint64_t last_session_ = 0;
    std::vector<std::unique_ptr<front>> fronts_;
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
