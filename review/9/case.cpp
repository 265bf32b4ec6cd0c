// Case 9: workers lose the answers of a part of their requests for some seconds, while many callers look up
// the same resources.
#include "../stand_ins_2/harness.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <unistd.h>

using namespace review;

namespace {

constexpr int node_count = 13;
constexpr int worker_count = 19;
constexpr int caller_count = 90;
constexpr int pen_count = 40;
constexpr double requests_per_s = 75;
constexpr double trouble_from_s = 10;
constexpr double trouble_to_s = 15.5;
constexpr double lost_share = 0.4; ///< Of the requests that an affected worker ran.
constexpr double worker_share = 0.6;
constexpr double end_s = 50;
constexpr double work_s = 0.12;

double random_unit()
{
    thread_local std::mt19937_64 engine{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(engine);
}

} // namespace

int main(int, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    record log(std::string(argv[1]) + "/record.txt");
    const std::string folder = argv[2];
    std::vector<std::string> ips{"127.70.13.1"};
    for (int i = 0; i < node_count; ++i) {
        ips.push_back("127.70.13." + std::to_string(10 + i));
    }
    for (int i = 0; i < worker_count; ++i) {
        ips.push_back("127.70.13." + std::to_string(40 + i));
    }
    const int front = free_port(ips);
    const int ready = free_port(ips);
    const int control = free_port(ips);
    const int internal = free_port(ips);
    const int worker_port = free_port(ips);
    store kv({"127.70.13.1", free_port(ips)});
    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, int> losses; // By caller and path.
    std::atomic<int> lost_answers{0};
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < worker_count; ++i) {
        const bool affected = i < static_cast<int>(worker_share * worker_count);
        const std::string id = "i-" + std::to_string(i);
        workers.push_back(std::make_unique<worker>(
            id, "inspection-log", std::string(1, static_cast<char>('a' + i % 3)),
            address{"127.70.13." + std::to_string(40 + i), worker_port},
            [&, id, affected](connection& from, const message& request, const std::string&) {
                sleep_s(work_s);
                const bool in_time = now_s() >= trouble_from_s && now_s() < trouble_to_s;
                if (trouble() && affected && in_time && random_unit() < lost_share) {
                    const auto caller = request.header("x-caller").value_or("");
                    {
                        const std::lock_guard lock(mutex);
                        ++losses[{caller, request.path()}];
                    }
                    ++lost_answers;
                    log.line(id + " ran " + request.header("anvilpost-request-id").value_or("") + " " +
                             request.path() + " of " + caller + "; its answer is lost, the connection reset");
                    from.reset();
                    return false;
                }
                return from.write(worker::answer(request, 200, std::string(400, 'x')));
            }));
    }
    kv.put(
        "op/config",
        R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind","timeout_ms","target_latency_ms","priority","service","max_attempts"],"rows":[["lookup","farm.example","/pens/","safe",800,300,2,"inspection-log",2]]},"services":{"columns":["name","health_path","max_connections"],"rows":[["inspection-log","/health",260]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    for (const auto& each : workers) {
        kv.put("servers/" + each->id_, each->entry("ready", 3, 1));
    }
    std::vector<address> seeds;
    for (int i = 0; i < 3; ++i) {
        seeds.push_back({"127.70.13." + std::to_string(10 + i), control});
    }
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 0; i < node_count; ++i) {
        nodes.push_back(std::make_unique<node>(
            "front-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)),
            "127.70.13." + std::to_string(10 + i), front, ready, control, internal, seeds, kv.at_, folder));
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
    std::atomic<int> all{0};
    std::atomic<int> served{0};
    std::atomic<int> denied{0};
    std::atomic<int> denied_later{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < caller_count; ++i) {
        callers.emplace_back([&, i] {
            // Each caller has an address of its own and names itself in each request.
            const std::string own_ip = "127.70.14." + std::to_string(10 + i);
            const auto& to = *nodes[static_cast<std::size_t>(i % node_count)];
            std::unique_ptr<connection> kept;
            while (!stop) {
                sleep_s(caller_count / requests_per_s * 2 * random_unit());
                if (!kept) {
                    kept = connect_to(to.front_, 1, own_ip);
                }
                if (!kept) {
                    continue;
                }
                const std::string pen =
                    "/pens/" + std::to_string(static_cast<int>(random_unit() * pen_count));
                const auto id = unique_id();
                const double sent_at = now_s();
                const auto result =
                    send_request(*kept, "GET", "farm.example", pen, id, 1500, {{"X-Caller", own_ip}});
                const int status = result.answer_ ? result.answer_->status() : 0;
                ++all;
                served += status == 200 ? 1 : 0;
                const bool own_refusal = status >= 300 && status < 500 && status != 408 && status != 421 &&
                                         status != 429 && !result.answer_->header("anvilpost-server-stamp");
                if (own_refusal) {
                    ++denied;
                    denied_later += sent_at > trouble_to_s ? 1 : 0;
                    log.line("DENIED: GET " + pen + " of " + own_ip + " at " + to.name_ + ": " +
                             result.answer_->start_line_ + " " + result.answer_->body_);
                }
                if (!result.answer_ || result.answer_->header("connection").value_or("") == "close") {
                    kept.reset();
                }
            }
        });
    }
    sleep_s(end_s - now_s());
    stop = true;
    for (auto& each : callers) {
        each.join();
    }
    int most_of_one = 0;
    for (const auto& [unused, count] : losses) {
        most_of_one = std::max(most_of_one, count);
    }
    const double allowed = 5 + all / 500.0;
    const bool broken = denied > allowed;
    log.line("requests " + std::to_string(all) + ", served " + std::to_string(served) + ", answers lost " +
             std::to_string(lost_answers) + " (of one caller and path at most " +
             std::to_string(most_of_one) + "); ended with a 3xx or 4xx of the system's own: " +
             std::to_string(denied) + ", " + std::to_string(denied_later) +
             " of them sent after the disruption; allowed: " + std::to_string(allowed) + "; DENIED " +
             (broken ? "broken" : "held"));
    nodes.clear();
    std::_Exit(served < 500 ? 2 : broken ? 1 : 0);
}
