// Implementation of the stand-ins on blocking sockets with timeouts.
#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

const auto began = clock::now();

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in to_sockaddr(const address& at)
{
    sockaddr_in bytes{};
    bytes.sin_family = AF_INET;
    bytes.sin_port = htons(static_cast<std::uint16_t>(at.port_));
    inet_pton(AF_INET, at.ip_.c_str(), &bytes.sin_addr);
    return bytes;
}

std::string base64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
        value |= left > 1 ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0;
        value |= left > 2 ? static_cast<unsigned char>(bytes[i + 2]) : 0;
        text += letters[(value >> 18U) & 63U];
        text += letters[(value >> 12U) & 63U];
        text += left > 1 ? letters[(value >> 6U) & 63U] : '=';
        text += left > 2 ? letters[value & 63U] : '=';
    }
    return text;
}

std::string query(const std::string& target, const std::string& name)
{
    const auto start = target.find('?');
    std::string rest = start == std::string::npos ? "" : "&" + target.substr(start + 1);
    const auto found = rest.find("&" + name + "=");
    if (found == std::string::npos) {
        return "";
    }
    const auto value = rest.substr(found + name.size() + 2);
    return value.substr(0, value.find('&'));
}

} // namespace

double now_s()
{
    return std::chrono::duration<double>(clock::now() - began).count();
}

void sleep_s(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

bool trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", now_s(), text.c_str());
    std::fflush(file_);
}

int free_port(const std::vector<std::string>& ips)
{
    static int next = 20'000 + static_cast<int>(getpid() % 20'000);
    for (int tries = 0; tries < 2'000; ++tries) {
        const int port = next++;
        bool free = true;
        for (const auto& ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = socket(AF_INET, type, 0);
                const auto bytes = to_sockaddr({ip, port});
                free = free && bind(fd, reinterpret_cast<const sockaddr*>(&bytes), sizeof bytes) == 0;
                close(fd);
            }
        }
        if (free) {
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

std::string message::method() const
{
    return start_line_.substr(0, start_line_.find(' '));
}

std::string message::path() const
{
    const auto first = start_line_.find(' ');
    return start_line_.substr(first + 1, start_line_.find(' ', first + 1) - first - 1);
}

int message::status() const
{
    const auto first = start_line_.find(' ');
    return first == std::string::npos ? 0 : std::atoi(start_line_.c_str() + first + 1);
}

std::optional<std::string> message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers_) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

connection::~connection()
{
    if (fd_ >= 0) {
        close(fd_);
    }
}

bool connection::fill(double deadline)
{
    const double left = deadline - now_s();
    pollfd waiting{fd_, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0) {
        return false;
    }
    char bytes[65'536];
    const auto count = recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
        peer_ended_ = true;
        return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::read_message(double timeout_s, bool is_response)
{
    const double deadline = now_s() + timeout_s;
    peer_ended_ = false;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    message read;
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (read.start_line_.empty()) {
            read.start_line_ = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        read.headers_.emplace_back(lower(line.substr(0, colon)),
                                   value == std::string::npos ? "" : line.substr(value));
    }
    if (const auto length = read.header("content-length")) {
        const auto wanted = static_cast<std::size_t>(std::atoll(length->c_str()));
        while (buffer_.size() < wanted) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        read.body_ = buffer_.substr(0, wanted);
        buffer_.erase(0, wanted);
        return read;
    }
    if (read.header("transfer-encoding").value_or("") == "chunked") {
        while (true) {
            std::size_t line_end = 0;
            while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return std::nullopt;
                }
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line_end + 2 + size + 2) {
                if (!fill(deadline)) {
                    return std::nullopt;
                }
            }
            read.body_ += buffer_.substr(line_end + 2, size);
            buffer_.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                return read;
            }
        }
    }
    if (is_response && read.status() != 204) {
        while (fill(deadline)) {
        }
        if (!peer_ended_) {
            return std::nullopt;
        }
        read.body_ = buffer_;
        buffer_.clear();
    }
    return read;
}

bool connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void connection::reset()
{
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd_);
    fd_ = -1;
}

bool connection::closed_by_peer()
{
    char byte = 0;
    const auto count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<connection> connect_to(const address& to, double timeout_s, const std::string& from_ip)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!from_ip.empty()) {
        const auto own = to_sockaddr({from_ip, 0});
        bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
    const auto bytes = to_sockaddr(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&bytes), sizeof bytes) != 0) {
        pollfd waiting{fd, POLLOUT, 0};
        int error = 0;
        socklen_t length = sizeof error;
        if (errno != EINPROGRESS || poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            close(fd);
            return nullptr;
        }
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int no_delay = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
    return std::make_unique<connection>(fd);
}

void server::listen_again()
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const auto bytes = to_sockaddr(at_);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&bytes), sizeof bytes) != 0 ||
        listen(listener_, 512) != 0) {
        std::fprintf(stderr, "cannot listen on %s\n", at_.text().c_str());
        std::exit(2);
    }
}

server::server(address at, std::function<void(connection&, const std::string&)> serve)
    : at_(std::move(at)), serve_(std::move(serve))
{
    listen_again();
    acceptor_ = std::thread([this] {
        while (!stopping_) {
            if (now_s() < down_until_) {
                if (listener_ >= 0) {
                    close(listener_);
                    listener_ = -1;
                }
                sleep_s(0.01);
                continue;
            }
            if (listener_ < 0) {
                listen_again();
            }
            pollfd waiting{listener_, POLLIN, 0};
            if (poll(&waiting, 1, 10) <= 0) {
                continue;
            }
            sockaddr_in peer{};
            socklen_t length = sizeof peer;
            const int fd = accept4(listener_, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int no_delay = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
            char text[INET_ADDRSTRLEN];
            inet_ntop(AF_INET, &peer.sin_addr, text, sizeof text);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(fd);
            }
            std::thread([this, fd, ip = std::string(text)] {
                connection accepted(fd);
                serve_(accepted, ip);
                const std::lock_guard lock(mutex_);
                open_.erase(fd);
                if (accepted.fd_ >= 0) {
                    close(accepted.fd_);
                    accepted.fd_ = -1;
                }
            }).detach();
        }
        close(listener_);
    });
}

void server::crash(double down_s)
{
    const std::lock_guard lock(mutex_);
    down_until_ = now_s() + down_s;
    for (const int fd : open_) {
        shutdown(fd, SHUT_RDWR);
    }
}

server::~server()
{
    stop();
}

void server::stop()
{
    stopping_ = true;
    if (acceptor_.joinable()) {
        acceptor_.join();
    }
}

store::store(address at) : at_(std::move(at))
{
    server_ = std::make_unique<server>(at_, [this](connection& from, const std::string&) { serve(from); });
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    history_.push_back({++revision_, key, value});
    changed_.notify_all();
}

void store::erase(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (items_at(revision_).contains(key)) {
        history_.push_back({++revision_, key, std::nullopt});
        changed_.notify_all();
    }
}

void store::set_state(state next)
{
    const std::lock_guard lock(mutex_);
    state_ = next;
    changed_.notify_all();
}

void store::restore_copy(std::uint64_t revision)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(history_, [&](const change& each) { return each.revision_ > revision; });
    revision_ = revision;
    ++era_;
    changed_.notify_all();
}

std::uint64_t store::revision()
{
    const std::lock_guard lock(mutex_);
    return revision_;
}

std::map<std::string, store::change> store::items_at(std::uint64_t revision) const
{
    std::map<std::string, change> items;
    for (const auto& each : history_) {
        if (each.revision_ > revision) {
            break;
        }
        if (each.value_) {
            items[each.key_] = each;
        }
        else {
            items.erase(each.key_);
        }
    }
    return items;
}

std::string store::item_json(const change& item) const
{
    std::string text = "{\"key\":\"" + item.key_ + "\",\"revision\":" + std::to_string(item.revision_);
    if (!item.value_) {
        return text + ",\"deleted\":true}";
    }
    return text + ",\"value\":\"" + base64(*item.value_) +
           "\",\"create_revision\":" + std::to_string(item.revision_) + ",\"lease\":0}";
}

void store::serve(connection& from)
{
    while (const auto request = from.read_message(60, false)) {
        const auto target = request->path();
        const auto prefix = query(target, "path_prefix");
        int status = 200;
        std::string body = "{}";
        std::unique_lock lock(mutex_);
        if (state_ == state::busy) {
            status = 503;
        }
        else if (target.starts_with("/v1/kv-range")) {
            const auto after = query(target, "after");
            std::string items;
            for (const auto& [key, item] : items_at(revision_)) {
                if (key.starts_with(prefix) && key > after) {
                    items += (items.empty() ? "" : ",") + item_json(item);
                }
            }
            body = "{\"items\":[" + items +
                   "],\"has_more\":false,\"store_revision\":" + std::to_string(revision_) + "}";
        }
        else if (target.starts_with("/v1/kv-watch")) {
            const auto after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
            const auto wait = std::chrono::milliseconds(std::atoi(query(target, "wait_ms").c_str()));
            const auto until = clock::now() + wait;
            const auto era = era_;
            const auto relevant = [&] {
                return std::any_of(history_.begin(), history_.end(), [&](const change& each) {
                    return each.revision_ > after && each.key_.starts_with(prefix);
                });
            };
            changed_.wait_until(lock, until,
                                [&] { return relevant() || state_ == state::busy || era != era_; });
            if (state_ == state::busy) {
                status = 503;
            }
            else if (after > revision_ || after < first_revision_) {
                status = 410;
            }
            else {
                std::string events;
                for (const auto& each : history_) {
                    if (each.revision_ > after && each.key_.starts_with(prefix)) {
                        events += (events.empty() ? "" : ",") + item_json(each);
                    }
                }
                body = "{\"events\":[" + events + "],\"store_revision\":" + std::to_string(revision_) + "}";
            }
        }
        else {
            status = 404;
        }
        const auto era = era_;
        lock.unlock();
        const bool closes = lower(request->header("connection").value_or("")) == "close";
        from.write("HTTP/1.1 " + std::to_string(status) +
                   " Status\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era) +
                   (closes ? "\r\nConnection: close" : "") +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        if (closes) {
            return;
        }
    }
}

node::node(std::string name, std::string zone, std::string ip, int front, int ready, int control,
           int internal, std::vector<address> seeds, address store, std::string folder, std::string bounds,
           int memory_mb)
    : name_(std::move(name)), ip_(ip), front_{ip, front}, ready_{ip, ready}, control_{ip, control},
      memory_mb_(memory_mb), zone_(std::move(zone)), internal_port_(internal), store_(std::move(store)),
      bounds_(std::move(bounds)), settings_path_(folder + "/" + name_ + ".json"),
      log_path_(folder + "/" + name_ + ".log")
{
    if (bounds_.empty()) {
        bounds_ =
            R"("seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,)"
            R"("drain_ms":2000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":2000,)"
            R"("rollback_slack_ms":250,"max_stretch_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,)"
            R"("retry_budget_slack":62,"recover_s":15,"probes_per_s":60)";
    }
    write_settings(seeds);
}

void node::write_settings(const std::vector<address>& seeds) const
{
    std::string seed_text;
    for (const auto& seed : seeds) {
        seed_text += (seed_text.empty() ? "\"" : ",\"") + seed.text() + "\"";
    }
    const std::string next = settings_path_ + ".next";
    std::ofstream(next)
        << "{\"self\":{\"node\":\"" << name_
        << R"(","role":"entry","machine_class":"front","serves":["front","control"],"ip":")" << ip_
        << "\",\"zone\":\"" << zone_
        << R"(","region":"r","counts_as_fault":false,"bootstrap":true,"data_dir":null,)"
        << R"("limits":{"cpu_share":0.2,"cores":1,"memory_mb":)" << memory_mb_
        << R"(,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"network":{"listen":{"front":")"
        << front_.text() << "\",\"ready\":\"" << ready_.text() << "\",\"control\":\"" << control_.text()
        << "\"},\"internal_ports\":[" << internal_port_ << "," << internal_port_ + 15 << "],\"seeds\":["
        << seed_text
        << R"(],"zones":{"a":"r","b":"r","c":"r"}},"platform":{"discovery":"platform","entry":"vip",)"
        << R"("heartbeat_ms":1500,"platform":{"address":")" << store_.text()
        << R"(","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,)"
        << R"("ttl_min_ms":1000}},"terms":{"contracts":["base"],"tolerate":{"machines":2,"zones":0,"regions":0},)"
        << "\"bounds\":{" << bounds_ << "}}}";
    std::rename(next.c_str(), settings_path_.c_str());
}

void node::send_signal(int signal) const
{
    if (pid_ > 0) {
        kill(pid_, signal);
    }
}

node::~node()
{
    kill_process();
}

void node::start()
{
    const int child = fork();
    if (child == 0) {
        const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        setenv("ANVILPOST_BOOT", settings_path_.c_str(), 1);
        execl("target/platform/anvilpost_platformd", "target/platform/anvilpost_platformd", nullptr);
        _exit(127);
    }
    pid_ = child;
    // For run.sh, which ends what is left if the case itself is ended.
    std::ofstream(settings_path_.substr(0, settings_path_.rfind('/')) + "/pids", std::ios::app)
        << child << "\n";
}

void node::kill_process()
{
    const int pid = pid_.exchange(0);
    if (pid > 0) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
}

bool node::is_ready() const
{
    const auto asked = connect_to(ready_, 0.5);
    if (!asked ||
        !asked->write("GET /v1/ready HTTP/1.1\r\nHost: " + ready_.text() + "\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto answer = asked->read_message(1, true);
    return answer && answer->status() == 200;
}

std::uint64_t node::resident_bytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

worker::worker(std::string id, std::string service, std::string zone, address at, work run)
    : id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), at_(std::move(at)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
{
    server_ = std::make_unique<server>(at_, [this, run](connection& from, const std::string& node_ip) {
        while (const auto request = from.read_message(10, false)) {
            const headers leaving = leaving_ ? headers{{"Server-Leaving", "1"}} : headers{};
            if (request->path() == "/health") {
                headers more = leaving;
                more.emplace_back("Anvilpost-Instance-Id", id_);
                more.emplace_back("Anvilpost-Server-Load", "0,0,3");
                if (!from.write(answer(*request, leaving_ ? 503 : 200, "", more))) {
                    return;
                }
                continue;
            }
            const auto expected = request->header("anvilpost-expect-instance");
            if (expected && *expected != id_) {
                from.write(answer(*request, 421, "",
                                  {{"Anvilpost-Not-Executed", "1"}, {"Anvilpost-Instance-Id", id_}}));
                continue;
            }
            if (!run(from, *request, node_ip)) {
                return;
            }
        }
    });
}

void worker::crash(double down_s)
{
    server_->crash(down_s);
    born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count() +
               static_cast<std::int64_t>(down_s * 1000);
}

std::string worker::entry(const std::string& state, int slots, int sequence) const
{
    return "{\"service\":\"" + service_ + "\",\"address\":\"" + at_.text() + "\",\"zone\":\"" + zone_ +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) + ",\"state\":\"" + state +
           "\",\"warmup_left_ms\":0,\"sequence\":" + std::to_string(sequence) +
           ",\"born\":" + std::to_string(born_ms_) + "}";
}

std::string worker::answer(const message& request, int status, const std::string& body, const headers& more)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    if (const auto id = request.header("anvilpost-request-id")) {
        text += "Anvilpost-Request-Id: " + *id + "\r\n";
    }
    if (status < 300) {
        text += "Anvilpost-Server-Stamp: s-" + request.header("anvilpost-request-id").value_or("") + "\r\n";
    }
    for (const auto& [name, value] : more) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Keep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

client_result send_request(connection& on, const std::string& method, const std::string& host,
                           const std::string& path, const std::string& id, int deadline_ms,
                           const headers& more, const std::string& body)
{
    client_result result;
    result.connected_ = true;
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                       "\r\nAnvilpost-Request-Id: " + id +
                       "\r\nAnvilpost-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    for (const auto& [name, value] : more) {
        text += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    result.sent_ = on.write(text + "\r\n" + body);
    if (result.sent_) {
        result.answer_ = on.read_message(deadline_ms / 1000.0, true);
    }
    result.closed_early_ = !result.answer_ && (on.peer_ended_ || !result.sent_);
    return result;
}

std::string unique_id()
{
    static std::atomic<std::uint64_t> next{1};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08llx", static_cast<unsigned>(getpid()),
                  static_cast<unsigned long long>(next++));
    return text;
}

} // namespace review
