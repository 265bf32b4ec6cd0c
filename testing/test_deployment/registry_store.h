// In-memory replacement for the metadata store of the users' platform, served over HTTP: revisions, paged
// prefix reads, long-polling watches, transactions and leases. It listens on several endpoints, each with its
// own faults.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"
#include "test_deployment/loopback_proxy.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// Faults of one endpoint of the store.
struct store_endpoint_faults {
    int refuse_with_ = 0;          ///< Status of every response, 429 or 503; 0 serves calls normally.
    bool hang_ = false;            ///< Calls are never answered.
    bool reset_ = false;           ///< The connection of each call is closed.
    duration delay_{};             ///< Delay before each call is served.
    double lose_responses_ = 0;    ///< Share of the transactions that are processed but not answered.
    bool suppress_events_ = false; ///< Watches report no changes.
};

/// Calls served since the start; reads of a single key and calls that end a lease aren't counted.
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

    /// Adds an endpoint and returns its number.
    std::size_t listen(const loopback_address& address);

    /// Writes of operators and workers; faults don't apply to them.
    std::uint64_t put(const std::string& key, const std::string& value);
    void erase(const std::string& key);

    /// Sets the faults of one endpoint, or of all.
    void set_faults(std::size_t number, const store_endpoint_faults& faults);
    void set_faults(const store_endpoint_faults& faults);

    /// Drops the history and closes the connections of all waiting watches.
    void compact();

    /// Keeps a copy of the present state for `restore`.
    void take_copy();

    /// Comes back from the copy: what was written since is gone, revisions are given out again, waiting
    /// watches are cut, and the era that every response names rises by one.
    void restore();

    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] const store_counters& counters() const { return counters_; }
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix) const;

private:
    struct item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t create_revision_ = 0;
        std::uint64_t lease_ = 0;
    };

    struct change {
        std::string key_;
        std::uint64_t revision_ = 0;
        bool deleted_ = false;
        item item_;
    };

    struct lease {
        duration ttl_{};
        std::unique_ptr<timer> expiry_;
    };

    struct endpoint {
        std::unique_ptr<listener> listener_;
        store_endpoint_faults faults_;
    };

    /// A call that waits for its response; `request_` is null once its connection has closed.
    struct pending_call {
        evhttp_request* request_ = nullptr;
        std::string prefix_;
        std::uint64_t after_ = 0;
        std::size_t endpoint_ = 0;
        std::unique_ptr<timer> timer_;
    };

    void on_request(std::size_t number, evhttp_request* request);
    void serve(std::size_t number, evhttp_request* request);
    void read_key(evhttp_request* request) const;
    void read_range(evhttp_request* request) const;
    void watch(std::size_t number, evhttp_request* request);
    bool answer_watch(pending_call& call, bool wait_ended);
    void wake_watches();
    void transact(std::size_t number, evhttp_request* request);
    void serve_lease(evhttp_request* request, const std::string& path);
    void grant(evhttp_request* request);
    void end_lease(std::uint64_t number);
    void record(const std::string& key, const item& now, bool deleted);
    void finish_write(std::size_t number, evhttp_request* request, int status, const nlohmann::json& body);
    std::shared_ptr<pending_call> track(evhttp_request* request);
    void release(const std::shared_ptr<pending_call>& call);
    static nlohmann::json describe(const std::string& key, const item& stored);

    event_loop& loop_;
    std::vector<std::unique_ptr<endpoint>> endpoints_;
    std::map<std::string, item> items_;
    std::deque<change> history_;
    std::map<std::uint64_t, lease> leases_;
    std::vector<std::shared_ptr<pending_call>> watches_;
    std::vector<std::shared_ptr<pending_call>> delayed_;
    std::uint64_t era_ = 1;
    std::map<std::string, item> copied_items_;
    std::uint64_t copied_revision_ = 0;
    std::uint64_t revision_ = 10;
    std::uint64_t compacted_to_ = 10;
    std::uint64_t next_lease_ = 1;
    store_counters counters_;
};

} // namespace anvilpost::testing
