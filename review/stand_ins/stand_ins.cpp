// Implementation of the stand-ins; see stand_ins.h.
#include "stand_ins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const steady::time_point started_at = steady::now();

constexpr const char* node_program = "target/platform/anvilpost_platformd";

sockaddr_in address_of(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t k) {
            return k < bytes.size() ? static_cast<unsigned char>(bytes[k]) : 0U;
        };
        const unsigned group = (at(i) << 16U) | (at(i + 1) << 8U) | at(i + 2);
        text += digits[(group >> 18U) & 63U];
        text += digits[(group >> 12U) & 63U];
        text += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

std::map<std::string, std::string> parse_query(const std::string& target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const auto equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
    }
    return query;
}

std::mt19937_64& generator()
{
    static std::mt19937_64 made{std::random_device{}()};
    return made;
}

std::mutex generator_mutex;

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - started_at).count();
}

void sleep_ms(std::int64_t length)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(0, length)));
}

std::int64_t unix_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    file_ << now_ms() << " " << text << "\n" << std::flush;
}

connection::~connection()
{
    close(socket_);
}

bool connection::fill(std::int64_t deadline)
{
    const auto left = deadline - now_ms();
    pollfd waiting{socket_, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const auto count = recv(socket_, bytes, sizeof bytes, 0);
    if (count <= 0) {
        ended_ = true;
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool connection::read_line(std::string& line, std::int64_t deadline)
{
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return false;
        }
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
}

bool connection::read_bytes(std::string& bytes, std::size_t count, std::int64_t deadline)
{
    while (bytes.size() < count) {
        if (buffer_.empty() && !fill(deadline)) {
            return false;
        }
        const auto taken = std::min(count - bytes.size(), buffer_.size());
        bytes.append(buffer_, 0, taken);
        buffer_.erase(0, taken);
    }
    return true;
}

bool connection::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::closed_by_peer() const
{
    char byte = 0;
    const auto count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

namespace {

bool read_headers(connection& from, headers& into, std::int64_t deadline)
{
    std::string line;
    while (from.read_line(line, deadline)) {
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        into[lower(line.substr(0, colon))] = colon == std::string::npos ? "" : trim(line.substr(colon + 1));
    }
    return false;
}

bool read_chunks(connection& from, std::string& body, std::int64_t deadline)
{
    while (true) {
        std::string line;
        if (!from.read_line(line, deadline)) {
            return false;
        }
        const auto size = std::strtoull(line.c_str(), nullptr, 16);
        std::string chunk;
        if (size > 0 && !from.read_bytes(chunk, size, deadline)) {
            body += chunk;
            return false;
        }
        body += chunk;
        if (!from.read_line(line, deadline)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

} // namespace

bool connection::read_request(request& into, std::int64_t deadline)
{
    into = {};
    std::string line;
    if (!read_line(line, deadline)) {
        return false;
    }
    std::istringstream words(line);
    words >> into.method_ >> into.target_;
    if (!read_headers(*this, into.headers_, deadline)) {
        return false;
    }
    if (into.headers_["transfer-encoding"] == "chunked") {
        return read_chunks(*this, into.body_, deadline);
    }
    return read_bytes(into.body_, std::strtoull(into.headers_["content-length"].c_str(), nullptr, 10),
                      deadline);
}

answer send_request(connection& to, const std::string& bytes, std::int64_t give_up)
{
    answer got;
    if (!to.write(bytes)) {
        got.connection_ended_ = true;
        return got;
    }
    const auto read_answer = [&] {
        std::string line;
        if (!to.read_line(line, give_up) || !read_headers(to, got.headers_, give_up)) {
            return false;
        }
        got.status_ = line.size() > 9 ? std::atoi(line.c_str() + 9) : 0;
        if (got.headers_["transfer-encoding"] == "chunked") {
            return read_chunks(to, got.body_, give_up);
        }
        return to.read_bytes(got.body_, std::strtoull(got.headers_["content-length"].c_str(), nullptr, 10),
                             give_up);
    };
    got.complete_ = read_answer();
    got.connection_ended_ = !got.complete_ && to.ended_;
    return got;
}

int connect_to(const std::string& ip, std::uint16_t port, std::int64_t timeout_ms)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = address_of(ip, port);
    const timeval timeout{timeout_ms / 1000, static_cast<suseconds_t>(timeout_ms % 1000 * 1000)};
    setsockopt(made, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(made);
        return -1;
    }
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

std::string random_id()
{
    const std::lock_guard lock(generator_mutex);
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(generator()()));
    return text;
}

server::server(const std::string& ip, std::uint16_t port, handler serve) : serve_(std::move(serve))
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = address_of(ip, port);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listener_, 256) != 0) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    socklen_t length = sizeof address;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    port_ = ntohs(address.sin_port);
    accepting_ = std::thread([this] {
        while (!stopping_) {
            pollfd waiting{listener_, POLLIN, 0};
            if (poll(&waiting, 1, 100) <= 0) {
                continue;
            }
            const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int no_delay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            std::thread([this, accepted] {
                connection served(accepted);
                serve_(served);
            }).detach();
        }
    });
}

server::~server()
{
    stopping_ = true;
    accepting_.join();
    close(listener_);
}

store::store(const std::string& ip, std::uint16_t port)
    : server_(ip, port, [this](connection& from) { serve(from); })
{
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    auto& kept = items_[key];
    kept.value_ = value;
    kept.revision_ = ++revision_;
    kept.created_ = kept.created_ == 0 ? kept.revision_ : kept.created_;
    history_.push_back({key, kept, false});
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (items_.erase(key) > 0) {
        history_.push_back({key, {"", ++revision_, 0}, true});
        changed_.notify_all();
    }
}

namespace {

template <class Item>
std::string item_text(const std::string& key, const Item& item)
{
    return R"({"key":")" + key + R"(","value":")" + base64(item.value_) + R"(","revision":)" +
           std::to_string(item.revision_) + R"(,"create_revision":)" + std::to_string(item.created_) +
           R"(,"lease":0})";
}

} // namespace

std::string store::range(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(mutex_);
    const auto prefix = query.contains("path_prefix") ? query.at("path_prefix") : "";
    const auto after = query.contains("after") ? query.at("after") : "";
    std::string list;
    for (const auto& [key, kept] : items_) {
        if (key.starts_with(prefix) && key > after) {
            list += (list.empty() ? "" : ",") + item_text(key, kept);
        }
    }
    return R"({"items":[)" + list + R"(],"has_more":false,"store_revision":)" + std::to_string(revision_) +
           "}";
}

std::string store::watch(const std::map<std::string, std::string>& query)
{
    const auto prefix = query.contains("path_prefix") ? query.at("path_prefix") : "";
    const auto after = std::strtoull(query.contains("after") ? query.at("after").c_str() : "0", nullptr, 10);
    const auto wait =
        std::strtoll(query.contains("wait_ms") ? query.at("wait_ms").c_str() : "0", nullptr, 10);
    std::unique_lock lock(mutex_);
    std::string list;
    const auto collect = [&] {
        list.clear();
        for (const auto& change : history_) {
            if (change.item_.revision_ > after && change.key_.starts_with(prefix)) {
                list += list.empty() ? "" : ",";
                list += change.deleted_ ? R"({"key":")" + change.key_ + R"(","revision":)" +
                                              std::to_string(change.item_.revision_) + R"(,"deleted":true})"
                                        : item_text(change.key_, change.item_);
            }
        }
        return !list.empty();
    };
    changed_.wait_for(lock, std::chrono::milliseconds(std::min<long long>(wait, 30'000)), collect);
    return R"({"events":[)" + list + R"(],"store_revision":)" + std::to_string(revision_) + "}";
}

void store::serve(connection& from)
{
    request asked;
    while (from.read_request(asked, now_ms() + 60'000)) {
        const auto query = parse_query(asked.target_);
        std::string body = "{}";
        int status = 404;
        if (asked.target_.starts_with("/v1/kv-range")) {
            body = range(query);
            status = 200;
        }
        else if (asked.target_.starts_with("/v1/kv-watch")) {
            body = watch(query);
            status = 200;
        }
        const std::string head = "HTTP/1.1 " + std::to_string(status) +
                                 " X\r\nContent-Type: application/json\r\n" +
                                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!from.write(head + body) || lower(asked.headers_["connection"]) == "close") {
            return;
        }
    }
}

deployment::deployment()
{
    // Addresses of its own for each run, so that runs side by side do not meet.
    const auto pid = static_cast<unsigned>(getpid());
    net_ = "127." + std::to_string(40 + pid / 250 % 200) + "." + std::to_string(1 + pid % 250);
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    // A free run of ports on the store's address; those of the other addresses of this net are free too.
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    auto address = address_of(net_ + ".2", 0);
    if (bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        throw std::runtime_error("no loopback addresses in " + net_ + ".0/24");
    }
    close(probe);
    base_port_ = static_cast<std::uint16_t>(20'000 + pid % 1'000 * 8);
    store_address_ = net_ + ".2";
}

deployment::~deployment()
{
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

node::node(const deployment& where, int index, std::vector<int> seeds)
    : where_(where), name_("front-atlanta-" + std::to_string(index + 1)), ip_(where.node_ip(index)),
      index_(index), settings_(where.folder_ + "/" + name_ + ".json")
{
    write_settings(seeds);
}

void node::write_settings(const std::vector<int>& seed_indices) const
{
    const auto at = [&](std::uint16_t port) { return "\"" + ip_ + ":" + std::to_string(port) + "\""; };
    std::string seeds;
    for (const int seed : seed_indices) {
        seeds += (seeds.empty() ? "\"" : ",\"") + where_.node_ip(seed) + ":" +
                 std::to_string(where_.control_port()) + "\"";
    }
    // The example of DEPLOY.md with this run's addresses; limits and bounds are those of magnolia-edge, and
    // of recolecta-andina-grown where only that has one.
    std::ofstream(settings_ + ".new")
        << R"({"self":{"node":")" << name_
        << R"(","role":"entry","machine_class":"front","serves":["front","control"],"ip":")" << ip_
        << R"(","zone":"atlanta","region":"southeast","counts_as_fault":false,"bootstrap":true,"data_dir":null,)"
        << R"("limits":{"cpu_share":0.2,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},)"
        << R"("network":{"listen":{"front":)" << at(where_.front_port()) << R"(,"ready":)"
        << at(where_.ready_port()) << R"(,"control":)" << at(where_.control_port())
        << R"(},"internal_ports":[)" << where_.peer_port() << "," << where_.peer_port() + 2
        << R"(],"seeds":[)" << seeds << R"(],"zones":{"atlanta":"southeast"}},)"
        << R"("platform":{"discovery":"platform","entry":"vip","heartbeat_ms":1500,"platform":{"address":")"
        << where_.store_address_ << ":" << where_.store_port()
        << R"(","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,)"
        << R"("ttl_min_ms":1000}},"terms":{"contracts":["base","drain","config","cost","retry","recover",)"
        << R"("health","tenants","quota","platform"],"tolerate":{"machines":2,"zones":0,"regions":0},)"
        << R"("bounds":{"seed_lag_s":3,)"
        << R"("reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":6,)"
        << R"("loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,)"
        << R"("retry_budget_ratio":0.2,"budget_window_s":10,"retry_budget_slack":56,"quota_window_s":5,)"
        << R"("quota_overage":0.1,"quota_slack":20,"recover_s":15,"probes_per_s":60}}})";
    // Replaced at once, so that the node never reads half of it.
    std::filesystem::rename(settings_ + ".new", settings_);
}

node::~node()
{
    if (pid_ > 0) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
}

void node::start()
{
    const std::string variable = "ANVILPOST_BOOT=" + settings_;
    const std::string log = where_.folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        const char* path = std::getenv("PATH");
        const std::string path_variable = std::string("PATH=") + (path == nullptr ? "" : path);
        char* const arguments[] = {const_cast<char*>(node_program), nullptr};
        char* const environment[] = {const_cast<char*>(variable.c_str()),
                                     const_cast<char*>(path_variable.c_str()), nullptr};
        execve(node_program, arguments, environment);
        _exit(127);
    }
}

bool node::wait_until_ready(std::int64_t timeout_ms) const
{
    const auto end = now_ms() + timeout_ms;
    while (now_ms() < end) {
        const int made = connect_to(ip_, where_.ready_port(), 500);
        if (made >= 0) {
            connection to(made);
            const auto got = send_request(
                to, "GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", now_ms() + 500);
            if (got.status_ == 200) {
                return true;
            }
        }
        sleep_ms(50);
    }
    return false;
}

void node::signal(int number) const
{
    if (pid_ > 0) {
        kill(pid_, number);
    }
}

bool node::ended(int& status)
{
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return true;
    }
    return pid_ <= 0;
}

double node::resident_mb() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::atof(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

std::string configuration_document(const std::string& version, const std::vector<route>& routes,
                                   const std::vector<std::string>& services,
                                   const std::vector<tenant>& tenants)
{
    std::string rows;
    for (const auto& each : routes) {
        rows += (rows.empty() ? "[\"" : ",[\"") + each.name_ + "\",\"" + each.host_ + "\",\"" + each.prefix_ +
                "\",\"" + each.kind_ + "\"," + std::to_string(each.timeout_ms_) + "," +
                std::to_string(each.target_ms_) + "," + std::to_string(each.priority_) + ",\"" +
                each.service_ + "\"," + std::to_string(each.max_attempts_) + ",null]";
    }
    std::string service_rows;
    for (const auto& each : services) {
        service_rows += (service_rows.empty() ? "[\"" : ",[\"") + each + R"(","/health",220,"h1",false])";
    }
    std::string tenant_rows;
    for (const auto& each : tenants) {
        tenant_rows += (tenant_rows.empty() ? "[\"" : ",[\"") + each.name_ + "\",[\"" + each.key_ + "\"],1," +
                       std::to_string(each.rate_per_s_) + "," + std::to_string(each.burst_) + "]";
    }
    const std::string tenant_table =
        tenants.empty()
            ? ""
            : R"(,"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[)" +
                  tenant_rows + "]}";
    return R"({"version":")" + version +
           R"(","routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms",)" +
           R"("priority","service","max_attempts","traffic_split"],"rows":[)" + rows +
           R"(]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[)" +
           service_rows +
           R"(]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,)" +
           R"("idle_timeout_ms":15000})" + tenant_table + "}";
}

worker::worker(store& registry, const deployment& where, int index, std::string service, behaviour serve)
    : registry_(registry), id_("i-" + random_id().substr(0, 8)), service_(std::move(service)),
      ip_(where.worker_ip(index)), port_(where.worker_port()), born_(unix_ms()), behaviour_(std::move(serve)),
      server_(ip_, port_, [this](connection& from) { this->serve(from); })
{
}

void worker::register_entry(std::int64_t sequence)
{
    registry_.put("servers/" + id_,
                  R"({"service":")" + service_ + R"(","address":")" + ip_ + ":" + std::to_string(port_) +
                      R"(","zone":"atlanta","version":"v1","slots":)" + std::to_string(slots_) +
                      R"(,"state":"ready","warmup_left_ms":0,"sequence":)" + std::to_string(sequence) +
                      R"(,"born":)" + std::to_string(born_) + "}");
}

std::string worker::head(int status, const std::string& request_id, std::size_t length) const
{
    const int running = running_;
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " X") +
           "\r\nAnvilpost-Request-Id: " + request_id + "\r\nAnvilpost-Server-Stamp: " + id_ + "." +
           request_id + "\r\nAnvilpost-Server-Load: " + std::to_string(std::min(running, slots_)) + "," +
           std::to_string(std::max(0, running - slots_)) + "," + std::to_string(slots_) +
           ",100\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

void worker::serve(connection& from)
{
    request asked;
    while (from.read_request(asked, now_ms() + 120'000)) {
        if (asked.target_ == "/health") {
            const int running = running_;
            if (!from.write("HTTP/1.1 200 OK\r\nAnvilpost-Instance-Id: " + id_ +
                            "\r\nAnvilpost-Server-Load: " + std::to_string(std::min(running, slots_)) + "," +
                            std::to_string(std::max(0, running - slots_)) + "," + std::to_string(slots_) +
                            ",100\r\nContent-Length: 0\r\n\r\n")) {
                return;
            }
            continue;
        }
        if (asked.headers_["anvilpost-expect-instance"] != id_) {
            from.write("HTTP/1.1 421 Misdirected Request\r\nAnvilpost-Instance-Id: " + id_ +
                       "\r\nAnvilpost-Request-Id: " + asked.headers_["anvilpost-request-id"] +
                       "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!behaviour_(*this, from, asked)) {
            return;
        }
    }
}

bool answer_soundly(worker& self, connection& to, const request& asked, int work_ms, std::size_t body_bytes)
{
    ++self.running_;
    sleep_ms(work_ms);
    --self.running_;
    return to.write(self.head(200, asked.headers_.at("anvilpost-request-id"), body_bytes) +
                    std::string(body_bytes, 'x'));
}

} // namespace review
