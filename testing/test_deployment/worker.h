// Simulated worker of the users' platform: slots and a queue, health and load reports, and injected faults.
// The test deployment registers it in the store.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"
#include "test_deployment/guarantee_checker.h"
#include "test_deployment/loopback_proxy.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// Identity and capacity of a worker.
struct worker_settings {
    std::string id_;
    std::string service_;
    loopback_address address_;
    int slots_ = 4;
    std::size_t queue_ = 8;
    /// Mean execution time of a request; each takes 0.5 to 1.5 times as long.
    duration mean_service_time_ = std::chrono::milliseconds(20);
};

/// Injected faults; shares are probabilities per request, 0 to 1.
struct worker_faults {
    double slowdown_ = 1.0; ///< Factor on the execution time.
    /// Share of the requests that run and whose connection is then closed without a response.
    double lose_responses_ = 0;
    double truncate_responses_ = 0; ///< Share of the responses that are truncated.
    double never_answer_ = 0;       ///< Share of the requests that run and are never answered.
    double refuse_ = 0;             ///< Share of the requests that are refused as not executed.
    bool always_healthy_ = false;   ///< The health path answers 200 even while the worker drains.
    int retry_after_s_ = 0;         ///< Retry-After of refusals, in seconds; 0: none.
    bool says_leaving_ = false;     ///< Every response says that the worker leaves; its entry does not.
    /// Rate limit in requests per second that every response names; empty: none.
    std::optional<double> rate_limit_;
};

/// Invariants: at most `slots_` requests run at a time; each start is reported to the guarantee checker.
class worker {
public:
    worker(event_loop& loop, guarantee_checker& checker, random_port& random,
           const worker_settings& settings);

    /// Drops all requests; running ones never finish. To be called before destroying a worker that crashes.
    void abandon();

    void set_faults(const worker_faults& faults) { faults_ = faults; }
    void set_draining(bool draining) { draining_ = draining; }
    [[nodiscard]] bool draining() const { return draining_; }
    /// Time of the first response that said so, probes' apart; nothing while none did.
    [[nodiscard]] std::optional<time_point> said_leaving_at() const { return said_leaving_at_; }
    [[nodiscard]] const worker_settings& settings() const { return settings_; }

    /// Times at which requests arrived, health probes included.
    [[nodiscard]] const std::vector<time_point>& arrival_times() const { return arrival_times_; }

    /// Called for each request that is addressed to this worker, before it is queued or refused; must be set.
    std::function<void(const arrival&)> on_arrival_;

private:
    struct job {
        evhttp_request* request_ = nullptr; ///< Null once its connection has closed.
        std::string id_;
        std::string path_;
        bool running_ = false;
        std::unique_ptr<timer> completion_;
    };

    void on_request(evhttp_request* request);
    void answer_health(evhttp_request* request);
    void refuse(evhttp_request* request, int status);
    void start_next();
    void finish(const std::shared_ptr<job>& done);
    void send_response(job& done);
    void send_truncated(job& done);
    void remove(const std::shared_ptr<job>& ended);
    void add_common_headers(evhttp_request* request, const std::string& request_id);
    [[nodiscard]] std::string load_header() const;
    [[nodiscard]] int running_count() const;
    bool draw(double probability);

    event_loop& loop_;
    guarantee_checker& checker_;
    random_port& random_;
    worker_settings settings_;
    worker_faults faults_;
    bool draining_ = false;
    std::optional<time_point> said_leaving_at_;
    steady_clock clock_;
    std::vector<time_point> arrival_times_;
    std::deque<std::shared_ptr<job>> jobs_;
    listener listener_;
};

} // namespace anvilpost::testing
