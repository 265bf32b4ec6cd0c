// Small stand-ins for the cases of this review: the platform's store, workers, clients and the platform's
// process control, all on loopback addresses and the real clock. A case is one program that holds all of them
// and starts the nodes (`anvilpost_platformd`) as separate processes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

/// Milliseconds since the program started.
std::int64_t now_ms();
void sleep_ms(std::int64_t length);

/// Unix time in milliseconds, as workers state it in `born`.
std::int64_t unix_ms();

/// False only for `TROUBLE=0`.
bool trouble();

/// The file `record.txt` of the case: what was sent, answered and run.
class record {
public:
    explicit record(const std::string& path) : file_(path, std::ios::trunc) {}
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// Headers with names in lower case.
using headers = std::map<std::string, std::string>;

struct request {
    std::string method_;
    std::string target_;
    headers headers_;
    std::string body_;
};

/// One blocking TCP connection; owns its socket.
class connection {
public:
    explicit connection(int socket) : socket_(socket) {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// Returns false once the peer has closed or `deadline` (of `now_ms`) has passed.
    bool read_line(std::string& line, std::int64_t deadline);
    bool read_bytes(std::string& bytes, std::size_t count, std::int64_t deadline);
    /// Returns false when the peer has closed.
    bool write(const std::string& bytes) const;
    /// True when the peer has closed or reset; does not wait.
    [[nodiscard]] bool closed_by_peer() const;
    bool read_request(request& into, std::int64_t deadline);

    /// Set by `read_line` and `read_bytes` when the peer closed or reset, and not when the time ran out.
    bool ended_ = false;
    /// Bytes that a faulty worker sends before its next answer on this connection.
    std::string late_bytes_;

private:
    bool fill(std::int64_t deadline);
    int socket_;
    std::string buffer_;
};

/// Accepts connections on a loopback address and serves each in a thread of its own.
class server {
public:
    using handler = std::function<void(connection&)>;
    /// Port 0: the operating system chooses one.
    server(const std::string& ip, std::uint16_t port, handler serve);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    handler serve_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::thread accepting_;
};

/// The platform's metadata store: `kv-range` and `kv-watch`, as PROTOCOL.md describes them.
class store {
public:
    store(const std::string& ip, std::uint16_t port);
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    struct item {
        std::string value_;
        std::uint64_t revision_ = 0;
        std::uint64_t created_ = 0;
    };
    struct event {
        std::string key_;
        item item_;
        bool deleted_ = false;
    };
    void serve(connection& from);
    std::string range(const std::map<std::string, std::string>& query);
    std::string watch(const std::map<std::string, std::string>& query);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 1;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    server server_;
};

/// The answer to a client's request, as far as it arrived.
struct answer {
    int status_ = 0; ///< 0: no head arrived.
    headers headers_;
    std::string body_;
    bool complete_ = false;
    bool connection_ended_ = false; ///< The node closed or reset before the answer was complete.
};

/// Sends one request on the connection and waits for its answer until `give_up` (of `now_ms`).
answer send_request(connection& to, const std::string& bytes, std::int64_t give_up);
/// Returns -1 when no connection could be made.
int connect_to(const std::string& ip, std::uint16_t port, std::int64_t timeout_ms);

std::string random_id();

/// A deployment's fixed addresses and its configuration, in the platform's formats.
struct deployment {
    deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();
    std::string net_; ///< First three numbers of the loopback addresses.
    std::string store_address_;
    std::uint16_t base_port_ = 0;
    std::string folder_; ///< Temporary; removed at the end.

    [[nodiscard]] std::string node_ip(int index) const { return net_ + "." + std::to_string(10 + index); }
    [[nodiscard]] std::string worker_ip(int index) const { return net_ + "." + std::to_string(100 + index); }
    [[nodiscard]] std::uint16_t front_port() const { return base_port_; }
    [[nodiscard]] std::uint16_t ready_port() const { return static_cast<std::uint16_t>(base_port_ + 1); }
    [[nodiscard]] std::uint16_t control_port() const { return static_cast<std::uint16_t>(base_port_ + 2); }
    [[nodiscard]] std::uint16_t store_port() const { return static_cast<std::uint16_t>(base_port_ + 3); }
    [[nodiscard]] std::uint16_t worker_port() const { return static_cast<std::uint16_t>(base_port_ + 4); }
    [[nodiscard]] std::uint16_t peer_port() const { return static_cast<std::uint16_t>(base_port_ + 5); }
};

/// A node of the system: the program of the deploy file in a process of its own.
class node {
public:
    /// `seeds`: indices of the machines whose addresses the settings name as seeds.
    node(const deployment& where, int index, std::vector<int> seeds);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();
    void start();
    /// Writes the settings file anew, as the platform does when the seeds have changed.
    void write_settings(const std::vector<int>& seeds) const;
    /// Waits until the node answers its readiness check with 200.
    [[nodiscard]] bool wait_until_ready(std::int64_t timeout_ms) const;
    void signal(int number) const;
    /// True when the process has ended; `status` is that of waitpid.
    bool ended(int& status);
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string& ip() const { return ip_; }
    /// Resident memory in MB now; 0 when the process is gone.
    [[nodiscard]] double resident_mb() const;

private:
    const deployment& where_;
    std::string name_;
    std::string ip_;
    int index_;
    std::string settings_;
    pid_t pid_ = -1;
};

/// A row of the configuration's routes.
struct route {
    std::string name_;
    std::string host_;
    std::string prefix_;
    std::string kind_;
    int timeout_ms_ = 0;
    int target_ms_ = 0;
    int priority_ = 0;
    std::string service_;
    int max_attempts_ = 2;
};
/// A row of the configuration's tenants.
struct tenant {
    std::string name_;
    std::string key_;
    int rate_per_s_ = 0;
    int burst_ = 0;
};
std::string configuration_document(const std::string& version, const std::vector<route>& routes,
                                   const std::vector<std::string>& services,
                                   const std::vector<tenant>& tenants = {});

/// A worker: registered in the store, one request at a time on a connection, `slots` requests at once.
class worker {
public:
    /// What a worker does with a request, after it has been read. Returns false to close the connection.
    using behaviour = std::function<bool(worker&, connection&, const request&)>;
    worker(store& registry, const deployment& where, int index, std::string service, behaviour serve);
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] const std::string& service() const { return service_; }
    /// Writes the entry `servers/ID`.
    void register_entry(std::int64_t sequence = 1);
    /// The head of an answer in this worker's name, up to the empty line.
    [[nodiscard]] std::string head(int status, const std::string& request_id, std::size_t length) const;
    std::atomic<int> running_{0};
    static constexpr int slots_ = 6;

private:
    void serve(connection& from);
    store& registry_;
    std::string id_;
    std::string service_;
    std::string ip_;
    std::uint16_t port_;
    std::int64_t born_;
    behaviour behaviour_;
    server server_;
};

/// Sleeps as long as the work takes and answers whole; returns false when the connection broke.
bool answer_soundly(worker& self, connection& to, const request& asked, int work_ms, std::size_t body_bytes);

} // namespace review
