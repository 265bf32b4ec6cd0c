// Stand-in for the metadata store of the users' platform: revisions, prefix reads in pages, waiting watches,
// transactions and leases over HTTP, with faults for each front that it listens on.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"
#include "platform_world/loopback_proxy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// How a front treats the calls that reach it.
struct store_front_faults {
    int refuse_with_ = 0;       ///< Status that every call gets: 429 or 503; 0 serves.
    bool hang_ = false;         ///< No call is answered.
    bool reset_ = false;        ///< Each call's connection is closed.
    duration delay_{};          ///< Added to each answer.
    double lose_answers_ = 0;   ///< Part of the writes that are done and not answered.
    bool deaf_watches_ = false; ///< Watches hear of no change.
};

struct store_counters {
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t renewals_ = 0;
};

/// Invariants: `revision()` grows with each change; a change is in the history until it is compacted.
class registry_store {
public:
    explicit registry_store(event_loop& loop);
    registry_store(const registry_store&) = delete;
    registry_store& operator=(const registry_store&) = delete;
    ~registry_store() = default;

    /// Serves on one more address; returns the number of that front.
    std::size_t listen(const loopback_address& address);

    /// What operators and workers do; never refused.
    std::uint64_t put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    void set_faults(std::size_t number, const store_front_faults& faults);
    void set_faults(const store_front_faults& faults);

    /// Forgets the history and cuts the watches that wait.
    void compact();

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const store_counters& counters() const { return counters_; }
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const;

private:
    struct item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct change {
        std::string key_;
        std::uint64_t revision_ = 0;
        bool deleted_ = false;
        item item_;
    };

    struct lease {
        duration life_{};
        std::unique_ptr<timer> end_;
    };

    struct front {
        std::unique_ptr<listener> listener_;
        store_front_faults faults_;
    };

    /// A call whose answer is not due yet; `request_` is null once its connection has closed.
    struct open_call {
        evhttp_request* request_ = nullptr;
        std::string prefix_;
        std::uint64_t after_ = 0;
        std::size_t front_ = 0;
        std::unique_ptr<timer> due_;
    };

    void on_request(std::size_t number, evhttp_request* request);
    void serve(std::size_t number, evhttp_request* request);
    void read_key(evhttp_request* request) const;
    void read_range(evhttp_request* request) const;
    void watch(std::size_t number, evhttp_request* request);
    bool answer_watch(open_call& call, bool at_the_end);
    void wake_watches();
    void transact(std::size_t number, evhttp_request* request);
    void serve_lease(evhttp_request* request, const std::string& path);
    void grant(evhttp_request* request);
    void end_lease(std::uint64_t number);
    void record(const std::string& key, const item& now, bool deleted);
    void finish_write(std::size_t number, evhttp_request* request, int status, const nlohmann::json& body);
    std::shared_ptr<open_call> hold(evhttp_request* request);
    void release(const std::shared_ptr<open_call>& call);
    static nlohmann::json describe(const std::string& key, const item& stored);

    event_loop& loop_;
    std::vector<std::unique_ptr<front>> fronts_;
    std::map<std::string, item> items_;
    std::deque<change> history_;
    std::map<std::uint64_t, lease> leases_;
    std::vector<std::shared_ptr<open_call>> watches_;
    std::vector<std::shared_ptr<open_call>> delayed_;
    std::uint64_t revision_ = 10;
    std::uint64_t compacted_to_ = 10;
    std::uint64_t next_lease_ = 1;
    store_counters counters_;
};

} // namespace anvilpost::testing
