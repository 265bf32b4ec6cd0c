// Case 8: faulty workers send answers whose bodies go on without end.
#include "../stand_ins_2/harness.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <unistd.h>

using namespace review;

namespace {

constexpr int node_count = 3;
constexpr int worker_count = 6;
constexpr int client_count = 24;
constexpr double trouble_from_s = 8;
constexpr double trouble_to_s = 60;
constexpr double spell_s = 5.5;        ///< How long the faulty workers spoil answers each time,
constexpr double spell_period_s = 7.5; ///< and how often this comes.
constexpr double end_s = 66;
constexpr double work_s = 0.36;
constexpr double timeout_s = 2;
constexpr double time_budget_s = 4;
constexpr int spoilt_one_in = 50; ///< Of the answers of the faulty workers.

} // namespace

int main(int, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record log(std::string(argv[1]) + "/record.txt");
    const std::string folder = argv[2];
    const std::string net = "127.70.16.";
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
    std::atomic<int> answers{0};
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < worker_count; ++i) {
        const bool faulty = i < worker_count / 2;
        const std::string id = "i-" + std::to_string(i);
        workers.push_back(std::make_unique<worker>(
            id, "accounts", std::string(1, static_cast<char>('a' + i % 3)),
            address{net + std::to_string(40 + i), worker_port},
            [&, faulty, id](connection& from, const message& request, const std::string&) {
                const auto request_id = request.header("anvilpost-request-id").value_or("");
                sleep_s(work_s);
                const bool in_time = now_s() >= trouble_from_s && now_s() < trouble_to_s &&
                                     std::fmod(now_s() - trouble_from_s, spell_period_s) < spell_s;
                const bool spoils = trouble() && faulty && in_time && ++answers % spoilt_one_in == 0;
                if (!spoils) {
                    return from.write(worker::answer(request, 200, std::string(1500, 'x')));
                }
                log.line(id + " answers " + request_id + " with a body without end");
                const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
                bool open = from.write("HTTP/1.1 200 OK\r\nAnvilpost-Request-Id: " + request_id +
                                       "\r\nTransfer-Encoding: chunked\r\n\r\n");
                const double began_at = now_s();
                while (open) {
                    open = from.write(chunk);
                    sleep_s(0.05);
                }
                log.line(id + " stopped: its connection was closed " + std::to_string(now_s() - began_at) +
                         " s after the head of its answer to " + request_id);
                return false;
            }));
    }
    kv.put(
        "op/config",
        R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","service","max_attempts"],"rows":[["pull","paper.example","/pull/","safe",2000,1000,2,"accounts",2]]},"services":{"columns":["name","health_path","max_connections"],"rows":[["accounts","/health",220]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    for (const auto& each : workers) {
        kv.put("servers/" + each->id_, each->entry("ready", 6, 1));
    }
    std::vector<address> seeds;
    for (int i = 0; i < node_count; ++i) {
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
    std::atomic<int> over_time{0};  // Not answered in full at the route's timeout_ms.
    std::atomic<int> unanswered{0}; // Of these: nor half a second later.
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
                const double sent_at = now_s();
                const auto result = send_request(*kept, "GET", "paper.example", "/pull/" + id, id,
                                                 static_cast<int>(time_budget_s * 1000));
                const double lasted = now_s() - sent_at;
                served += result.answer_ && result.answer_->status() == 200 ? 1 : 0;
                over_time += lasted > timeout_s ? 1 : 0;
                unanswered += lasted > timeout_s + 0.5 ? 1 : 0;
                if (lasted > timeout_s) {
                    log.line("request " + id + " at " + to.name_ + ": " +
                             (result.answer_         ? result.answer_->start_line_
                              : result.closed_early_ ? std::string("connection closed, answer incomplete")
                                                     : std::string("the client gave up, answer incomplete")) +
                             " after " + std::to_string(lasted) + " s");
                }
                if (!result.answer_ || result.answer_->header("connection").value_or("") == "close") {
                    kept.reset();
                }
                sleep_s(0.05);
            }
        });
    }
    sleep_s(end_s - now_s());
    stop = true;
    for (auto& each : clients) {
        each.join();
    }
    const bool broken = unanswered >= 8 && unanswered * 4 > over_time;
    log.line("served " + std::to_string(served) +
             "; requests that lasted longer than timeout_ms: " + std::to_string(over_time) +
             ", without a final answer half a second later: " + std::to_string(unanswered) + "; CONFIG " +
             (broken ? "broken" : "held"));
    nodes.clear();
    std::_Exit(served < 500 ? 2 : broken ? 1 : 0);
}
