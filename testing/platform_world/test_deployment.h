// A small deployment of the users' platform on loopback for tests. The nodes are real child processes; the
// store, workers, proxies and callers run in this process, so that one guarantee checker sees both ends of
// each request.
#pragma once

#include "platform_world/caller.h"
#include "platform_world/registry_store.h"
#include "platform_world/worker.h"
#include "support/child_process.h"
#include "support/split_mix.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// Size and place of a deployment.
struct world_settings {
    std::string daemon_; ///< Path of the node's executable.
    std::string folder_; ///< Receives the nodes' settings files and logs.
    std::uint64_t seed_ = 1;
    int net_ = 1; ///< Addresses are 127.net.x.y, so that several deployments can run side by side.
    int nodes_ = 5;
    int data_centres_ = 3;
    int workers_per_service_ = 4;
    std::set<int> idle_nodes_; ///< Not started by the constructor.
};

/// A route as an operator configures it.
struct operator_route {
    std::string name_;
    std::string path_prefix_;
    std::string service_;
    bool repeatable_ = true;
    std::chrono::milliseconds timeout_{1500};
};

/// Time bounds from the platform's settings, with the values of the users' small sites.
struct world_bounds {
    static constexpr std::chrono::milliseconds drain{2000};
    static constexpr std::chrono::milliseconds configuration{2000};
    static constexpr std::chrono::milliseconds stable{3000};
    static constexpr std::chrono::seconds grace{6};
};

/// Invariant: the guarantee checker and the store outlive the workers and callers, which hold references to
/// them.
class world {
public:
    explicit world(const world_settings& settings);
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    ~world();

    /// Runs the loop for `length`.
    void run_for(duration length);

    /// Runs the loop until `condition` holds, for at most `longest`. Returns whether it held.
    bool run_until(const std::function<bool()>& condition, duration longest);

    void start_node(int number);
    void signal_node(int number, int signal);
    [[nodiscard]] bool node_runs(int number);
    [[nodiscard]] int node_count() const { return settings_.nodes_; }

    /// Stops a node as the platform does: SIGTERM, then SIGKILL after the grace time. With `started_again` it
    /// is started again after it has exited.
    void stop_node(int number, bool started_again);

    void start_worker(int number);
    void crash_worker(int number);

    /// Marks a worker as draining and removes it 2 s after the drain time.
    void drain_worker(int number);
    [[nodiscard]] bool worker_runs(int number) const { return workers_.at(index(number)).server_ != nullptr; }
    [[nodiscard]] int worker_count() const { return static_cast<int>(workers_.size()); }
    [[nodiscard]] worker& server(int number) { return *workers_.at(index(number)).server_; }

    /// Writes the current routes to the store as a new configuration version.
    void put_configuration();

    /// Publishes a configuration that points a route to another service.
    void move_route(std::size_t which, const std::string& service);
    [[nodiscard]] const std::vector<operator_route>& routes() const { return routes_; }

    void start_callers(int count, duration pause);
    void stop_callers();

    /// Announces a fault that lasts for `length`: time bounds aren't checked until `world_bounds::stable`
    /// after its end.
    void disturb(duration length);
    [[nodiscard]] bool calm() const;
    [[nodiscard]] time_point now() const { return clock_.now(); }

    registry_store& store() { return store_; }
    loopback_proxy& store_link(int node) { return *store_links_.at(index(node)); }
    loopback_proxy& worker_link(int number) { return *workers_.at(index(number)).link_; }
    promise_book& book() { return book_; }
    split_mix& random() { return random_; }
    event_loop& loop() { return loop_; }

    /// Longest time for which this process wasn't scheduled. Delays observed after such a stall prove nothing
    /// about the nodes.
    [[nodiscard]] duration longest_stall() const { return longest_stall_; }

    /// Largest peak resident memory of any running node, in mebibytes.
    [[nodiscard]] double peak_node_memory() const;

    /// Share of the requests sent since `from` and ended by now that were answered with 200; 0 if there are
    /// none.
    [[nodiscard]] double served_part(time_point from) const;

    /// Stops callers and nodes and runs the final checks.
    void finish();

private:
    struct worker_place {
        loopback_address address_; ///< Registered in the store; the proxy listens here.
        loopback_address behind_;  ///< The worker itself listens here.
        std::unique_ptr<loopback_proxy> link_;
        std::unique_ptr<worker> server_;
        std::string service_;
        int lives_ = 0;
        int sequence_ = 0;
        time_point leaving_since_{};
    };

    struct node_place {
        std::unique_ptr<child_process> process_;
        std::unique_ptr<timer> check_;
        bool stopping_ = false;
        bool calm_stop_ = false;
        bool start_again_ = false;
        time_point asked_to_stop_{};
        bool paused_ = false; ///< SIGSTOP or SIGCONT was sent at least once; `last_pause_` is when last.
        time_point last_pause_{};
    };

    static constexpr duration pace_period = std::chrono::milliseconds(20);
    static constexpr duration stop_check_period = std::chrono::milliseconds(50);

    static std::size_t index(int number) { return static_cast<std::size_t>(number); }
    [[nodiscard]] std::string address(int part, int number) const;
    [[nodiscard]] std::string data_centre_of(int node) const;
    void write_settings(int node) const;
    void register_worker(worker_place& place);
    void on_arrival(int number, arrival what);
    void check_route(const arrival& what);
    void watch_stop(int number);
    void check_cut_requests(int number);
    void beat();
    void watch_own_pace();
    [[nodiscard]] bool stalled_lately() const;
    [[nodiscard]] bool paused_lately(int number) const;
    node_choice choose_node();
    request_kind choose_kind();

    world_settings settings_;
    steady_clock clock_;
    event_loop loop_;
    split_mix random_;
    promise_book book_;
    registry_store store_;
    std::vector<std::unique_ptr<loopback_proxy>> store_links_;
    std::vector<worker_place> workers_;
    std::vector<node_place> nodes_;
    std::vector<operator_route> routes_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::map<std::string, std::pair<std::string, time_point>>
        moved_; ///< By route: previous service and time of the move.
    std::uint64_t version_ = 1;
    time_point disturbed_until_{};
    timer beat_;
    timer pace_;
    time_point last_pace_{};
    time_point last_stall_{};
    duration longest_stall_{};
};

} // namespace anvilpost::testing
