// Stand-in for a worker of the users' platform: slots and a queue, health and load reports, registration in
// the store by the world, and the faults of its kind.
#pragma once

#include "adapters/event/event_loop.h"
#include "adapters/http/listener.h"
#include "platform_world/loopback_proxy.h"
#include "platform_world/promise_book.h"

#include <deque>
#include <memory>
#include <string>

namespace anvilpost::testing {

struct worker_settings {
    std::string id_;
    std::string service_;
    loopback_address address_;
    int slots_ = 4;
    std::size_t queue_ = 8;
    duration work_ = std::chrono::milliseconds(20);
};

struct worker_faults {
    double slowdown_ = 1.0;
    double lose_answers_ = 0;  ///< Part of the requests that run and whose connection is then closed.
    double cut_answers_ = 0;   ///< Part of the answers that end in their middle.
    double never_answer_ = 0;  ///< Part of the requests that are taken and never answered.
    double refuse_ = 0;        ///< Part of the requests that are refused as not executed.
    bool lie_healthy_ = false; ///< The health path says 200 whatever the state.
};

/// Invariant: at most `slots_` requests run at a time; each that runs was told to the book first.
class worker {
public:
    worker(event_loop& loop, promise_book& book, random_port& random, const worker_settings& settings);

    /// Lets go of all requests; what runs is never finished. A worker that crashes does so before it goes.
    void abandon();

    void set_faults(const worker_faults& faults) { faults_ = faults; }
    void set_draining(bool draining) { draining_ = draining; }
    [[nodiscard]] bool draining() const { return draining_; }
    [[nodiscard]] const worker_settings& settings() const { return settings_; }

    /// Called for each request that arrives, before anything else; must be set.
    std::function<void(const arrival&)> on_arrival_;

private:
    struct job {
        evhttp_request* request_ = nullptr; ///< Null once its connection has closed.
        std::string id_;
        std::string path_;
        bool running_ = false;
        std::unique_ptr<timer> end_;
    };

    void on_request(evhttp_request* request);
    void answer_health(evhttp_request* request);
    void refuse(evhttp_request* request, int status);
    void start_next();
    void finish(const std::shared_ptr<job>& done);
    void answer(job& done);
    void cut(job& done);
    void remove(const std::shared_ptr<job>& ended);
    void add_common_headers(evhttp_request* request, const std::string& request_id) const;
    [[nodiscard]] std::string load() const;
    [[nodiscard]] int running() const;
    bool happens(double part);

    event_loop& loop_;
    promise_book& book_;
    random_port& random_;
    worker_settings settings_;
    worker_faults faults_;
    bool draining_ = false;
    std::deque<std::shared_ptr<job>> jobs_;
    listener listener_;
};

} // namespace anvilpost::testing
