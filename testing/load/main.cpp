// Open-loop HTTP load generator. Calls start at scheduled times regardless of earlier responses, and latency
// is measured from the scheduled time, so that a stalled server cannot hide its delay (no coordinated
// omission). Prints a JSON report to standard output.
#include "adapters/http/http_fetch.h"
#include "adapters/settings_source.h"
#include "load/latency_report.h"
#include "stand_in_server.h"

#include <absl/flags/flag.h>
#include <csignal>
#include <cstdlib>
#include <event2/bufferevent.h>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

ABSL_FLAG(std::string, targets, "127.0.0.1:8080", "Comma-separated ip:port list, used round-robin.");
ABSL_FLAG(std::string, host, "", "Host header; the target's IP address when empty.");
ABSL_FLAG(std::string, path, "/", "Request target.");
ABSL_FLAG(double, rate, 100, "Average calls per second.");
ABSL_FLAG(bool, poisson, true,
          "Draw inter-arrival times from an exponential distribution; otherwise they are constant.");
ABSL_FLAG(double, seconds, 5, "Length of the recorded part of the run, in seconds.");
ABSL_FLAG(double, warmup_seconds, 1, "Length of the warm-up in seconds; its calls are not recorded.");
ABSL_FLAG(double, unrepeatable_share, 0, "Share of calls sent as POST with an idempotency key.");
ABSL_FLAG(std::string, key_prefix, "load", "Prefix of the idempotency keys.");
ABSL_FLAG(int, timeout_ms, 5000, "Connection and read/write timeout in milliseconds.");
ABSL_FLAG(std::string, alternate, "", "ip:port that receives every second call and is reported separately.");
ABSL_FLAG(int, burst_at_ms, 0,
          "Start of a burst at twice the rate, in milliseconds from the start; 0 for none.");
ABSL_FLAG(int, burst_ms, 50, "Length of the burst in milliseconds.");
ABSL_FLAG(int, seed, 1, "Seed of the random inter-arrival times and methods.");

namespace anvilpost::testing {
namespace {

/// A server address with its idle keep-alive connections.
struct target {
    std::string ip_;
    std::uint16_t port_ = 0;
    std::vector<evhttp_connection*> idle_;
};

/// Starts calls on schedule and stops the event loop when the run is over and every call has ended.
class load_generator {
public:
    explicit load_generator(event_loop& loop)
        : loop_(loop), random_(absl::GetFlag(FLAGS_seed)), next_(loop, [this] { start_due(); })
    {
        std::string list = absl::GetFlag(FLAGS_targets);
        while (!list.empty()) {
            const auto comma = list.find(',');
            targets_.push_back(parse_target(list.substr(0, comma)));
            list = comma == std::string::npos ? "" : list.substr(comma + 1);
        }
        if (!absl::GetFlag(FLAGS_alternate).empty()) {
            alternate_ = std::make_unique<target>(parse_target(absl::GetFlag(FLAGS_alternate)));
        }
    }

    void start()
    {
        begun_ = clock_.now();
        planned_ = begun_;
        start_due();
    }

    [[nodiscard]] nlohmann::json report() const
    {
        nlohmann::json document = main_report_.to_json();
        if (alternate_) {
            document["alternate"] = alternate_report_.to_json();
        }
        return document;
    }

private:
    /// A call without a response so far. Owned by its evhttp callback.
    struct open_call {
        load_generator& owner_;
        target& to_;
        evhttp_connection* connection_ = nullptr;
        time_point planned_{};
        bool alternate_ = false;
        bool recorded_ = false;
    };

    static target parse_target(const std::string& text)
    {
        target parsed;
        if (!parse_address(text, parsed.ip_, parsed.port_)) {
            throw std::runtime_error("not an ip:port: " + text);
        }
        return parsed;
    }

    [[nodiscard]] duration run_length() const
    {
        return duration(static_cast<duration::rep>(
            (absl::GetFlag(FLAGS_seconds) + absl::GetFlag(FLAGS_warmup_seconds)) * 1'000'000));
    }

    duration next_gap()
    {
        const auto since_start = planned_ - begun_;
        const duration burst_start = std::chrono::milliseconds(absl::GetFlag(FLAGS_burst_at_ms));
        const bool in_burst =
            burst_start.count() > 0 && since_start >= burst_start &&
            since_start < burst_start + std::chrono::milliseconds(absl::GetFlag(FLAGS_burst_ms));
        const double mean_us = 1'000'000 / absl::GetFlag(FLAGS_rate) / (in_burst ? 2 : 1);
        const double gap = absl::GetFlag(FLAGS_poisson)
                               ? std::exponential_distribution<double>(1 / mean_us)(random_)
                               : mean_us;
        return duration(static_cast<duration::rep>(gap));
    }

    void start_due()
    {
        while (planned_ <= clock_.now()) {
            if (planned_ - begun_ > run_length()) {
                finish_when_idle();
                return;
            }
            start_call();
            planned_ += next_gap();
        }
        next_.start(planned_ - clock_.now());
    }

    /// Stops the loop as soon as no call is pending.
    void finish_when_idle()
    {
        finishing_ = true;
        if (open_ == 0) {
            loop_.stop();
        }
    }

    void start_call()
    {
        ++started_;
        const bool alternate = alternate_ && started_ % 2 == 0;
        target& to = alternate ? *alternate_ : targets_[started_ % targets_.size()];
        auto* call = new open_call{*this, to, take_connection(to), planned_, alternate, false};
        call->recorded_ =
            planned_ - begun_ >
            duration(static_cast<duration::rep>(absl::GetFlag(FLAGS_warmup_seconds) * 1'000'000));
        ++open_;
        evhttp_request* request = evhttp_request_new(
            [](evhttp_request* answer, void* arg) {
                const std::unique_ptr<open_call> ended(static_cast<open_call*>(arg));
                ended->owner_.on_answer(*ended, answer);
            },
            call);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        const std::string host = absl::GetFlag(FLAGS_host);
        evhttp_add_header(headers, "Host", host.empty() ? to.ip_.c_str() : host.c_str());
        auto command = EVHTTP_REQ_GET;
        if (std::uniform_real_distribution<double>(0, 1)(random_) < absl::GetFlag(FLAGS_unrepeatable_share)) {
            command = EVHTTP_REQ_POST;
            const std::string key = absl::GetFlag(FLAGS_key_prefix) + "-" + std::to_string(started_);
            evhttp_add_header(headers, "Idempotency-Key", key.c_str());
        }
        evhttp_make_request(call->connection_, request, command, absl::GetFlag(FLAGS_path).c_str());
    }

    /// Returns an idle connection of the target, or opens a new one.
    evhttp_connection* take_connection(target& to)
    {
        if (!to.idle_.empty()) {
            evhttp_connection* connection = to.idle_.back();
            to.idle_.pop_back();
            return connection;
        }
        evhttp_connection* connection =
            evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr, to.ip_.c_str(), to.port_);
        const timeval limit = to_timeval(std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
        evhttp_connection_set_timeout_tv(connection, &limit);
        return connection;
    }

    void on_answer(const open_call& call, evhttp_request* answer)
    {
        --open_;
        const bool whole = answer != nullptr && evhttp_request_get_response_code(answer) != 0;
        if (call.recorded_) {
            auto& into = call.alternate_ ? alternate_report_ : main_report_;
            const char* verdict =
                whole ? evhttp_find_header(evhttp_request_get_input_headers(answer), "Anvilpost-Verdict")
                      : nullptr;
            into.add(whole ? evhttp_request_get_response_code(answer) : 0, verdict == nullptr ? "" : verdict,
                     clock_.now() - call.planned_);
        }
        if (whole) {
            call.to_.idle_.push_back(call.connection_);
        }
        else {
            // Frees the connection outside its own callback.
            loop_.defer([connection = call.connection_] { evhttp_connection_free(connection); });
        }
        if (finishing_ && open_ == 0) {
            loop_.stop();
        }
    }

    event_loop& loop_;
    steady_clock clock_;
    std::mt19937_64 random_;
    timer next_;
    std::vector<target> targets_;
    std::unique_ptr<target> alternate_;
    latency_report main_report_;
    latency_report alternate_report_;
    time_point begun_{};
    time_point planned_{};
    std::uint64_t started_ = 0;
    std::size_t open_ = 0;
    bool finishing_ = false;
};

} // namespace
} // namespace anvilpost::testing

int main(int argc, char** argv)
{
    const auto flags = anvilpost::read_flags(argc, argv, "testing/load/main.cpp", "LOAD_");
    if (!anvilpost::report_problems("load_generator", flags.problems_)) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    anvilpost::event_loop loop;
    anvilpost::testing::load_generator generator(loop);
    generator.start();
    loop.run();
    std::cout << generator.report().dump(2) << std::endl;
    std::quick_exit(0); // Skips closing idle connections.
}
