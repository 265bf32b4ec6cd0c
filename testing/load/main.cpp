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
    std::vector<evhttp_connection*> idle_connections_;
};

/// Starts calls on schedule and stops the event loop when the run is over and every call has ended.
class load_generator {
public:
    explicit load_generator(event_loop& loop)
        : loop_(loop), random_(absl::GetFlag(FLAGS_seed)),
          next_call_timer_(loop, [this] { start_due_calls(); })
    {
        std::string remaining = absl::GetFlag(FLAGS_targets);
        while (!remaining.empty()) {
            const auto comma = remaining.find(',');
            targets_.push_back(parse_target(remaining.substr(0, comma)));
            remaining = comma == std::string::npos ? "" : remaining.substr(comma + 1);
        }
        if (!absl::GetFlag(FLAGS_alternate).empty()) {
            alternate_ = std::make_unique<target>(parse_target(absl::GetFlag(FLAGS_alternate)));
        }
    }

    void start()
    {
        start_time_ = clock_.now();
        scheduled_start_ = start_time_;
        start_due_calls();
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
    struct pending_call {
        load_generator& generator_;
        target& target_;
        evhttp_connection* connection_ = nullptr;
        time_point scheduled_start_{};
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

    duration next_interarrival_time()
    {
        const auto since_start = scheduled_start_ - start_time_;
        const duration burst_start = std::chrono::milliseconds(absl::GetFlag(FLAGS_burst_at_ms));
        const bool in_burst =
            burst_start.count() > 0 && since_start >= burst_start &&
            since_start < burst_start + std::chrono::milliseconds(absl::GetFlag(FLAGS_burst_ms));
        const double mean_us = 1'000'000 / absl::GetFlag(FLAGS_rate) / (in_burst ? 2 : 1);
        const double interarrival_us = absl::GetFlag(FLAGS_poisson)
                                           ? std::exponential_distribution<double>(1 / mean_us)(random_)
                                           : mean_us;
        return duration(static_cast<duration::rep>(interarrival_us));
    }

    void start_due_calls()
    {
        while (scheduled_start_ <= clock_.now()) {
            if (scheduled_start_ - start_time_ > run_length()) {
                finish_when_idle();
                return;
            }
            start_call();
            scheduled_start_ += next_interarrival_time();
        }
        next_call_timer_.start(scheduled_start_ - clock_.now());
    }

    /// Stops the loop as soon as no call is pending.
    void finish_when_idle()
    {
        finishing_ = true;
        if (pending_calls_ == 0) {
            loop_.stop();
        }
    }

    void start_call()
    {
        ++calls_started_;
        const bool alternate = alternate_ && calls_started_ % 2 == 0;
        target& destination = alternate ? *alternate_ : targets_[calls_started_ % targets_.size()];
        auto* call = new pending_call{
            *this, destination, acquire_connection(destination), scheduled_start_, alternate, false};
        call->recorded_ =
            scheduled_start_ - start_time_ >
            duration(static_cast<duration::rep>(absl::GetFlag(FLAGS_warmup_seconds) * 1'000'000));
        ++pending_calls_;
        evhttp_request* request = evhttp_request_new(
            [](evhttp_request* response, void* arg) {
                const std::unique_ptr<pending_call> finished_call(static_cast<pending_call*>(arg));
                finished_call->generator_.on_response(*finished_call, response);
            },
            call);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        const std::string host = absl::GetFlag(FLAGS_host);
        evhttp_add_header(headers, "Host", host.empty() ? destination.ip_.c_str() : host.c_str());
        auto method = EVHTTP_REQ_GET;
        if (std::uniform_real_distribution<double>(0, 1)(random_) < absl::GetFlag(FLAGS_unrepeatable_share)) {
            method = EVHTTP_REQ_POST;
            const std::string key = absl::GetFlag(FLAGS_key_prefix) + "-" + std::to_string(calls_started_);
            evhttp_add_header(headers, "Idempotency-Key", key.c_str());
        }
        evhttp_make_request(call->connection_, request, method, absl::GetFlag(FLAGS_path).c_str());
    }

    /// Returns an idle connection of the target, or opens a new one.
    evhttp_connection* acquire_connection(target& destination)
    {
        if (!destination.idle_connections_.empty()) {
            evhttp_connection* connection = destination.idle_connections_.back();
            destination.idle_connections_.pop_back();
            return connection;
        }
        evhttp_connection* connection = evhttp_connection_base_bufferevent_new(
            loop_.base(), nullptr, nullptr, destination.ip_.c_str(), destination.port_);
        const timeval timeout = to_timeval(std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms)));
        evhttp_connection_set_timeout_tv(connection, &timeout);
        return connection;
    }

    void on_response(const pending_call& call, evhttp_request* response)
    {
        --pending_calls_;
        const bool complete = response != nullptr && evhttp_request_get_response_code(response) != 0;
        if (call.recorded_) {
            auto& destination_report = call.alternate_ ? alternate_report_ : main_report_;
            const char* verdict =
                complete ? evhttp_find_header(evhttp_request_get_input_headers(response), "Anvilpost-Verdict")
                         : nullptr;
            destination_report.record(complete ? evhttp_request_get_response_code(response) : 0,
                                      verdict == nullptr ? "" : verdict,
                                      clock_.now() - call.scheduled_start_);
        }
        if (complete) {
            call.target_.idle_connections_.push_back(call.connection_);
        }
        else {
            // Frees the connection outside its own callback, or together with the loop.
            loop_.defer(
                [ended = std::shared_ptr<evhttp_connection>(call.connection_, evhttp_connection_free)] {});
        }
        if (finishing_ && pending_calls_ == 0) {
            loop_.stop();
        }
    }

    event_loop& loop_;
    steady_clock clock_;
    std::mt19937_64 random_;
    timer next_call_timer_;
    std::vector<target> targets_;
    std::unique_ptr<target> alternate_;
    latency_report main_report_;
    latency_report alternate_report_;
    time_point start_time_{};
    time_point scheduled_start_{};
    std::uint64_t calls_started_ = 0;
    std::size_t pending_calls_ = 0;
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
