// Stand-ins for the review's scripts: the platform's store, workers, clients, and a launcher for the daemon.
// Each speaks as the users' pages say; a case sets the few behaviours that make up its disruption. Plain
// sockets and threads, loopback addresses only.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;

/// Seconds since the case began.
double now_s();
void sleep_s(double seconds);
/// False with TROUBLE=0 in the environment: the case runs without its disruption.
bool trouble();

/// Writes lines with the time to record.txt in the case's folder, which is the program's first argument.
class record {
public:
    explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
    ~record() { std::fclose(file_); }
    record(const record&) = delete;
    record& operator=(const record&) = delete;
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

struct address {
    std::string ip_;
    int port_ = 0;
    std::string text() const { return ip_ + ":" + std::to_string(port_); }
};

/// Returns a port that is free on all of these loopback addresses.
int free_port(const std::vector<std::string>& ips);

using headers = std::vector<std::pair<std::string, std::string>>; // Names in lower case when received.

struct message {
    std::string start_line_;
    headers headers_;
    std::string body_;
    std::string method() const;
    std::string path() const;
    int status() const;
    std::optional<std::string> header(const std::string& lower_case_name) const;
};

/// Reads messages from a socket. Returns nothing at the end of the connection or after `timeout_s`.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    std::optional<message> read_message(double timeout_s, bool is_response);
    bool write(const std::string& bytes);
    /// Closes with a reset.
    void reset();
    /// True once the other end has closed.
    bool closed_by_peer();
    int fd_;
    bool peer_ended_ = false; ///< The last read ended by the peer's close or reset, not by its timeout.

private:
    bool fill(double deadline);
    std::string buffer_;
};

/// `from_ip`: the client's own loopback address.
std::unique_ptr<connection> connect_to(const address& to, double timeout_s, const std::string& from_ip = "");

/// Accepts connections and serves each on a thread of its own.
class server {
public:
    server(address at, std::function<void(connection&, const std::string& peer_ip)> serve);
    ~server();
    void stop();
    /// Ends all connections and listens again after this time.
    void crash(double down_s);
    address at_;

private:
    void listen_again();
    std::mutex mutex_;
    std::set<int> open_;
    std::atomic<double> down_until_{0};
    int listener_ = -1;
    std::atomic<bool> stopping_{false};
    std::thread acceptor_;
    std::function<void(connection&, const std::string&)> serve_;
};

/// The platform's store: kv-range and kv-watch, which are all that the daemon calls.
class store {
public:
    explicit store(address at);
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    /// While set, calls get no answer (`silent`) or 503.
    enum class state { up, busy };
    void set_state(state next);
    /// The store comes back from a copy that was taken at `revision`; Store-Era rises by one.
    void restore_copy(std::uint64_t revision);
    std::uint64_t revision();
    address at_;

private:
    struct change {
        std::uint64_t revision_ = 0;
        std::string key_;
        std::optional<std::string> value_;
    };
    void serve(connection& from);
    std::string item_json(const change& item) const;
    std::map<std::string, change> items_at(std::uint64_t revision) const;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<change> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t first_revision_ = 100; ///< Watches from an earlier one get 410.
    std::uint64_t era_ = 1;
    state state_ = state::up;
    std::unique_ptr<server> server_;
};

/// One machine's daemon, started with the command of deploy/system.toml and a settings file of the platform.
class node {
public:
    node(std::string name, std::string zone, std::string ip, int front, int ready, int control, int internal,
         std::vector<address> seeds, address store, std::string folder, std::string bounds = "",
         int memory_mb = 260);
    ~node();
    void start();
    void kill_process(); ///< Loss of power or SIGKILL.
    void send_signal(int signal) const;
    /// Writes the settings file again with other seeds.
    void write_settings(const std::vector<address>& seeds) const;
    bool is_ready() const;
    /// Resident memory in bytes; 0 when the process has ended.
    std::uint64_t resident_bytes() const;
    std::string name_;
    std::string ip_;
    address front_;
    address ready_;
    address control_;
    int memory_mb_;
    std::atomic<int> pid_{0};

private:
    std::string zone_;
    int internal_port_ = 0;
    address store_;
    std::string bounds_;
    std::string settings_path_;
    std::string log_path_;
};

/// What a worker's request handler does with the request; returns false to close the connection.
using work = std::function<bool(connection& from, const message& request, const std::string& node_ip)>;

/// One lifetime of a worker: registers nothing by itself, answers probes and requests.
class worker {
public:
    worker(std::string id, std::string service, std::string zone, address at, work run);
    /// Its entry in the store.
    std::string entry(const std::string& state, int slots, int sequence) const;
    /// A whole answer as the pages describe it, with the request's id.
    static std::string answer(const message& request, int status, const std::string& body,
                              const headers& more = {});
    std::string id_;
    std::string service_;
    std::string zone_;
    address at_;
    std::atomic<std::int64_t> born_ms_;
    std::atomic<bool> leaving_{false};
    /// The process ends and is back after this time as a new lifetime under the same id.
    void crash(double down_s);

private:
    std::unique_ptr<server> server_;
};

struct client_result {
    bool connected_ = false;
    bool sent_ = false;
    std::optional<message> answer_;
    bool closed_early_ = false; ///< The connection ended without a complete answer.
};

/// Sends one request on an open connection, with an id of its own.
client_result send_request(connection& on, const std::string& method, const std::string& host,
                           const std::string& path, const std::string& id, int deadline_ms,
                           const headers& more = {}, const std::string& body = "");

std::string unique_id();

} // namespace review
