// Case 10: workers leave under load, and some seconds later the store comes back from a copy that was taken
// before.
#include "../stand_ins_2/harness.h"

#include <algorithm>
#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

constexpr int node_count = 6;
constexpr int worker_count = 12;
constexpr int leaving_count = 3; ///< scale_in: a quarter of the workers.
constexpr int client_count = 72;
constexpr double copy_s = 15;    ///< The store's copy is taken.
constexpr double leave_s = 16;   ///< The workers' entries are removed, and their answers say that they leave.
constexpr double drill_s = 18.7; ///< The store is away for a moment.
constexpr double back_s = 19;    ///< It comes back from the copy, which is 4 s old.
constexpr double heartbeat_s = 1.5;
constexpr double end_s = 24;
constexpr double drain_s = 2;
constexpr double work_s = 0.48;

struct request {
    double sent_ = 0;
    std::string node_;
};

} // namespace

int main(int, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record log(std::string(argv[1]) + "/record.txt");
    const std::string folder = argv[2];
    const std::string net = "127.70.15.";
    std::vector<std::string> ips{net + "1"};
    for (int i = 0; i < node_count; ++i) {
        ips.push_back(net + std::to_string(10 + i));
    }
    for (int i = 0; i < worker_count; ++i) {
        ips.push_back(net + std::to_string(40 + i));
    }
    const int front = free_port(ips);
    const int ready = free_port(ips);
    const int control = free_port(ips);
    const int internal = free_port(ips);
    const int worker_port = free_port(ips);
    store kv({net + "1", free_port(ips)});
    std::mutex mutex;
    std::map<std::string, request> requests; // By id.
    /// By node and worker: when the client had the first answer with Server-Leaving.
    std::map<std::pair<std::string, std::string>, double> passed_on_leaving;
    std::vector<std::pair<std::string, std::string>> reached; // Ids, and the leaving worker that got them.
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < worker_count; ++i) {
        workers.push_back(std::make_unique<worker>(
            "i-" + std::to_string(i), "works-desk", std::string(1, static_cast<char>('a' + i % 3)),
            address{net + std::to_string(40 + i), worker_port},
            [&, i, running = std::make_shared<std::atomic<int>>(0)](connection& from, const message& got,
                                                                    const std::string&) {
                const auto& self = *workers[static_cast<std::size_t>(i)];
                const auto id = got.header("anvilpost-request-id").value_or("");
                headers more;
                if (++*running > 6) {
                    --*running;
                    more.emplace_back("Anvilpost-Not-Executed", "1");
                    if (self.leaving_) {
                        more.emplace_back("Server-Leaving", "1");
                    }
                    return from.write(worker::answer(got, 503, "", more));
                }
                if (i < leaving_count) {
                    const std::lock_guard lock(mutex);
                    reached.emplace_back(id, self.id_);
                    log.line(self.id_ + " begins to run " + id + " from " + requests[id].node_);
                }
                sleep_s(work_s);
                more.emplace_back("Anvilpost-Server-Load",
                                  std::to_string(std::min(3, running->load())) + "," +
                                      std::to_string(std::max(0, running->load() - 3)) + ",3,100");
                more.emplace_back("X-Worker", self.id_);
                if (self.leaving_) {
                    more.emplace_back("Server-Leaving", "1");
                }
                --*running;
                return from.write(worker::answer(got, 200, std::string(1500, 'x'), more));
            }));
    }
    kv.put(
        "op/config",
        R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","service","max_attempts"],"rows":[["archive","farm.example","/archive/","safe",2500,1200,2,"works-desk",2]]},"services":{"columns":["name","health_path","max_connections"],"rows":[["works-desk","/health",260]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    for (const auto& each : workers) {
        kv.put("servers/" + each->id_, each->entry("ready", 3, 1));
    }
    std::vector<address> seeds;
    for (int i = 0; i < 3; ++i) {
        seeds.push_back({net + std::to_string(10 + i), control});
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>(
            "front-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)),
            net + std::to_string(10 + i), front, ready, control, internal, seeds, kv.at_, folder));
        nodes.back()->start();
    }
    for (const auto& each : nodes) {
        for (int tries = 0; !each->is_ready(); ++tries) {
            if (tries > 100) {
                log.line("a node does not get ready");
                nodes.clear();
                std::_Exit(2);
            }
            sleep_s(0.1);
        }
    }
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i) {
        clients.emplace_back([&, i] {
            const auto& to = *nodes[static_cast<std::size_t>(i % node_count)];
            std::unique_ptr<connection> kept;
            sleep_s(i * 0.02);
            while (!stop) {
                if (!kept) {
                    kept = connect_to(to.front_, 1);
                }
                if (!kept) {
                    sleep_s(0.1);
                    continue;
                }
                const auto id = unique_id();
                {
                    const std::lock_guard lock(mutex);
                    requests[id] = {now_s(), to.name_};
                }
                const auto result = send_request(*kept, "GET", "farm.example", "/archive/" + id, id, 5000);
                const bool good = result.answer_ && result.answer_->status() == 200;
                served += good ? 1 : 0;
                failed += good ? 0 : 1;
                if (good && result.answer_->header("server-leaving")) {
                    const std::lock_guard lock(mutex);
                    const auto from = result.answer_->header("x-worker").value_or("");
                    if (passed_on_leaving.emplace(std::pair(to.name_, from), now_s()).second) {
                        log.line(to.name_ + " has passed on an answer of " + from +
                                 " with Server-Leaving, to " + id);
                    }
                }
                const auto retry_after =
                    result.answer_ ? result.answer_->header("retry-after") : std::nullopt;
                if (!result.answer_ || result.answer_->header("connection").value_or("") == "close") {
                    kept.reset();
                }
                sleep_s(retry_after ? std::atof(retry_after->c_str()) : 0.02);
            }
        });
    }
    sleep_s(copy_s - now_s());
    const auto copy = kv.revision();
    sleep_s(leave_s - now_s());
    for (int i = 0; i < leaving_count; ++i) {
        auto& each = *workers[static_cast<std::size_t>(i)];
        kv.erase("servers/" + each.id_);
        each.leaving_ = true;
    }
    log.line("the entries of i-0 to i-2 are removed, and their answers say Server-Leaving; they serve on");
    if (trouble()) {
        sleep_s(drill_s - now_s());
        kv.set_state(store::state::busy);
        log.line("the store is away");
        sleep_s(back_s - now_s());
        kv.restore_copy(copy);
        kv.set_state(store::state::up);
        log.line("the store is back from a copy that is 4 s old");
        sleep_s(back_s + heartbeat_s - now_s());
        for (int i = 0; i < leaving_count; ++i) {
            kv.erase("servers/" + workers[static_cast<std::size_t>(i)]->id_);
        }
        log.line("the entries of i-0 to i-2 are removed again");
    }
    sleep_s(end_s - now_s());
    stop = true;
    for (auto& each : clients) {
        each.join();
    }
    int late = 0;
    const std::lock_guard lock(mutex);
    for (const auto& [id, at_worker] : reached) {
        const auto& sent = requests[id];
        const auto known = passed_on_leaving.find({sent.node_, at_worker});
        if (known != passed_on_leaving.end() && sent.sent_ > known->second + drain_s) {
            ++late;
            log.line("DRAIN: " + id + ", sent " + std::to_string(sent.sent_ - known->second) + " s after " +
                     sent.node_ + " had passed on that " + at_worker + " leaves, reached it from there");
        }
    }
    log.line("served " + std::to_string(served) + ", failed " + std::to_string(failed) +
             "; pairs of machine and worker with an answer with Server-Leaving passed on: " +
             std::to_string(passed_on_leaving.size()) + "; late requests: " + std::to_string(late) +
             "; DRAIN " + (late > 0 ? "broken" : "held"));
    nodes.clear();
    std::_Exit(served < 100 || passed_on_leaving.empty() ? 2 : late > 0 ? 1 : 0);
}
