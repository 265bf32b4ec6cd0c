// Stand-in for an upstream in tests: an HTTP server with a fixed number of slots and a queue, whose faults
// can be set at run time under /stand-in/. It counts the executions of each idempotency key, so that tests
// can check at-most-once execution.
#include "adapters/settings_source.h"
#include "stand_in_server.h"

#include <absl/flags/flag.h>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <set>
#include <unistd.h>

ABSL_FLAG(int, port, 9000, "Port to listen on, on 127.0.0.1.");
ABSL_FLAG(int, slots, 6, "Number of requests processed concurrently.");
ABSL_FLAG(double, service_ms, 5, "Mean service time in milliseconds.");
ABSL_FLAG(bool, exponential, false, "Draw service times from an exponential distribution.");
ABSL_FLAG(int, queue, 1000, "Capacity of the queue; further requests are shed with status 503.");
ABSL_FLAG(int, seed, 1, "Seed of the random service times.");

namespace anvilpost::testing {
namespace {

using nlohmann::json;

/// Faults set by a PUT to /stand-in/faults.
struct upstream_faults {
    double slow_factor_ = 1;    ///< Multiplies the service times.
    bool fail_fast_ = false;    ///< Every request gets status 500 at once.
    bool draining_ = false;     ///< Responses carry the Anvilpost-Leaving header; /healthz fails.
    bool silent_ = false;       ///< Connections open when this is set get no more responses; new ones work.
    double reported_load_ = -1; ///< Reported instead of the actual load unless negative.
    double cold_ms_ = 0;        ///< Added to the service time of the next `cold_requests_` requests.
    int cold_requests_ = 0;
    int occupied_slots_ = 0;            ///< Slots occupied by other tenants.
    bool unsolicited_response_ = false; ///< Sends an unsolicited second response after each response.
};

/// Queues requests, runs up to `--slots` of them at a time and answers each after its service time.
class upstream {
public:
    upstream(event_loop& loop, std::uint16_t port)
        : loop_(loop), random_(absl::GetFlag(FLAGS_seed)),
          listener_(loop, "127.0.0.1", port, stand_in_listener_limits(),
                    [this](evhttp_request* request) { on_request(request); })
    {
    }

private:
    /// A queued or running request.
    struct job {
        evhttp_request* request_ = nullptr; ///< nullptr once the client has closed its connection.
        upstream& owner_;
        std::unique_ptr<timer> service_timer_;
        std::string requested_fault_; ///< Value of the X-Stand-In header.
        std::string path_;
        std::size_t remaining_bytes_ = 0;
        bool running_ = false;
        event_ptr client_close_event_;
    };

    void on_request(evhttp_request* request)
    {
        listener_.on_request_complete(request);
        const std::string path = path_of(request);
        if (path.starts_with("/stand-in/")) {
            handle_control_request(request, path);
            return;
        }
        if (path == "/healthz") {
            reply(request, faults_.draining_ ? 503 : 200, "{}");
            return;
        }
        evhttp_connection* connection = evhttp_request_get_connection(request);
        if (faults_.silent_ && silenced_connections_.contains(connection)) {
            return;
        }
        seen_connections_.insert(connection);
        const std::string requested_fault = header_of(request, "X-Stand-In");
        if (requested_fault == "crash") {
            _exit(1);
        }
        if (requested_fault == "reset") {
            close_without_reply(loop_, request);
            return;
        }
        if (faults_.fail_fast_) {
            reply(request, 500, "failed");
            return;
        }
        if (static_cast<int>(queue_.size()) >= absl::GetFlag(FLAGS_queue)) {
            add_load_headers(request);
            reply(request, 503, "shed");
            return;
        }
        auto& added =
            jobs_.emplace_back(job{request, *this, nullptr, requested_fault, path, 0, false, nullptr});
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection* closed, void* arg) {
                auto* abandoned_job = static_cast<job*>(arg);
                abandoned_job->owner_.seen_connections_.erase(closed);
                abandoned_job->owner_.silenced_connections_.erase(closed);
                abandoned_job->request_ = nullptr;
                ++abandoned_job->owner_.cancelled_;
            },
            &added);
        watch_for_client_close(added);
        queue_.push_back(&added);
        start_jobs();
    }

    /// Frees the connection when the client closes it while the request is queued or running.
    void watch_for_client_close(job& watched)
    {
        const int fd = bufferevent_getfd(
            evhttp_connection_get_bufferevent(evhttp_request_get_connection(watched.request_)));
        watched.client_close_event_.reset(event_new(
            loop_.base(), fd, EV_CLOSED,
            [](evutil_socket_t, short, void* arg) {
                auto* abandoned_job = static_cast<job*>(arg);
                if (abandoned_job->request_ != nullptr) {
                    evhttp_connection_free(evhttp_request_get_connection(abandoned_job->request_));
                }
            },
            &watched));
        event_add(watched.client_close_event_.get(), nullptr);
    }

    [[nodiscard]] int free_slots() const
    {
        return absl::GetFlag(FLAGS_slots) - faults_.occupied_slots_ - running_;
    }

    void start_jobs()
    {
        while (!queue_.empty() && free_slots() > 0) {
            job* next = queue_.front();
            queue_.pop_front();
            if (next->request_ == nullptr) {
                remove_job(next);
                continue;
            }
            run(next);
        }
    }

    void run(job* started_job)
    {
        ++running_;
        started_job->running_ = true;
        const std::string key = header_of(started_job->request_, "Idempotency-Key");
        ++executions_[key.empty() ? "-" : key];
        double service_time_ms = absl::GetFlag(FLAGS_service_ms);
        if (absl::GetFlag(FLAGS_exponential)) {
            service_time_ms = std::exponential_distribution<double>(1 / service_time_ms)(random_);
        }
        if (const auto requested_ms = header_of(started_job->request_, "X-Stand-In-Ms");
            !requested_ms.empty()) {
            service_time_ms = std::stod(requested_ms);
        }
        service_time_ms *= faults_.slow_factor_;
        if (faults_.cold_requests_ > 0) {
            --faults_.cold_requests_;
            service_time_ms += faults_.cold_ms_;
        }
        started_job->service_timer_ =
            std::make_unique<timer>(loop_, [this, started_job] { finish(started_job); });
        started_job->service_timer_->start(duration(static_cast<duration::rep>(service_time_ms * 1000)));
    }

    void finish(job* finished_job)
    {
        --running_;
        evhttp_request* request = finished_job->request_;
        if (request == nullptr) {
            remove_job(finished_job);
            start_jobs();
            return;
        }
        finished_job->client_close_event_.reset();
        add_load_headers(request);
        const std::string bytes = "/bytes/";
        if (finished_job->path_.starts_with(bytes)) {
            start_streaming(finished_job, std::stoull(finished_job->path_.substr(bytes.size())));
            start_jobs();
            return;
        }
        if (finished_job->requested_fault_ == "cut" || finished_job->requested_fault_ == "stall") {
            send_truncated_response(request, finished_job->requested_fault_ == "cut");
        }
        else {
            evhttp_connection* connection = evhttp_request_get_connection(request);
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            reply(request, 200,
                  json{{"echo", header_of(request, "X-Echo")},
                       {"timeout_ms", header_of(request, "Anvilpost-Timeout-Ms")},
                       {"port", listener_.port()}}
                      .dump());
            if (faults_.unsolicited_response_) {
                send_unsolicited_response(connection);
            }
        }
        remove_job(finished_job);
        start_jobs();
    }

    /// Announces more bytes than it sends, then closes the connection or leaves it open.
    void send_truncated_response(evhttp_request* request, bool closes)
    {
        evhttp_connection* connection = evhttp_request_get_connection(request);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length", "1000");
        evhttp_send_reply_start(request, 200, nullptr);
        evbuffer* partial_body = evbuffer_new();
        evbuffer_add_printf(partial_body, "%0500d", 0);
        evhttp_send_reply_chunk(request, partial_body);
        evbuffer_free(partial_body);
        if (!closes) {
            return;
        }
        auto close_timer = std::make_shared<std::unique_ptr<timer>>();
        *close_timer = std::make_unique<timer>(loop_, [this, close_timer, connection] {
            evhttp_connection_free(connection);
            loop_.defer([close_timer] { close_timer->reset(); });
        });
        (*close_timer)->start(std::chrono::milliseconds(20));
    }

    /// Sends a second response without a request, as a faulty server on a reused connection would.
    static void send_unsolicited_response(evhttp_connection* connection)
    {
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nsurplus";
        evbuffer_add(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)), response.data(),
                     response.size());
    }

    /// Sends a body of `length` bytes in chunks, each once the previous one has been written.
    void start_streaming(job* streamed_job, std::size_t length)
    {
        streamed_job->remaining_bytes_ = length;
        evhttp_add_header(evhttp_request_get_output_headers(streamed_job->request_), "Content-Length",
                          std::to_string(length).c_str());
        evhttp_send_reply_start(streamed_job->request_, 200, nullptr);
        send_next_chunk(streamed_job);
    }

    static void send_next_chunk(job* streamed_job)
    {
        constexpr std::size_t chunk_bytes = 64UL * 1024;
        static const std::string chunk(chunk_bytes, 'x');
        if (streamed_job->request_ == nullptr) {
            streamed_job->owner_.remove_job(streamed_job);
            return;
        }
        if (streamed_job->remaining_bytes_ == 0) {
            evhttp_connection_set_closecb(evhttp_request_get_connection(streamed_job->request_), nullptr,
                                          nullptr);
            evhttp_send_reply_end(streamed_job->request_);
            streamed_job->owner_.remove_job(streamed_job);
            return;
        }
        const std::size_t size = std::min(chunk_bytes, streamed_job->remaining_bytes_);
        streamed_job->remaining_bytes_ -= size;
        evbuffer* bytes = evbuffer_new();
        evbuffer_add(bytes, chunk.data(), size);
        evhttp_send_reply_chunk_with_cb(
            streamed_job->request_, bytes,
            [](evhttp_connection*, void* arg) { send_next_chunk(static_cast<job*>(arg)); }, streamed_job);
        evbuffer_free(bytes);
    }

    void remove_job(job* ended)
    {
        jobs_.remove_if([ended](const job& entry) { return &entry == ended; });
    }

    /// Adds the load report and, while draining, the leaving header.
    void add_load_headers(evhttp_request* request)
    {
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        const double load = faults_.reported_load_ >= 0 ? faults_.reported_load_
                                                        : static_cast<double>(running_ + queue_.size());
        evhttp_add_header(headers, "endpoint-load-metrics",
                          ("JSON " + json{{"named_metrics", {{"in_flight", load}}}}.dump()).c_str());
        if (faults_.draining_) {
            evhttp_add_header(headers, "Anvilpost-Leaving", "true");
        }
    }

    /// Handles the paths under /stand-in/: reads the execution counts or sets faults.
    void handle_control_request(evhttp_request* request, const std::string& path)
    {
        if (path == "/stand-in/executions") {
            reply(request, 200,
                  json{{"by_key", executions_}, {"cancelled", cancelled_}, {"running", running_}}.dump());
            return;
        }
        const json requested = json::parse(body_of(request), nullptr, false);
        if (path != "/stand-in/faults" || !requested.is_object()) {
            reply(request, 400, "unknown control path or malformed body");
            return;
        }
        faults_.slow_factor_ = requested.value("slow_factor", 1.0);
        faults_.fail_fast_ = requested.value("fail_fast", false);
        faults_.draining_ = requested.value("draining", false);
        faults_.reported_load_ = requested.value("reported_load", -1.0);
        faults_.cold_ms_ = requested.value("cold_ms", 0.0);
        faults_.cold_requests_ = requested.value("cold_requests", 0);
        faults_.occupied_slots_ = requested.value("stolen_slots", 0);
        faults_.unsolicited_response_ = requested.value("surplus", false);
        faults_.silent_ = requested.value("silent", false);
        silenced_connections_ = faults_.silent_ ? seen_connections_ : std::set<evhttp_connection*>{};
        reply(request, 200, "{}");
        start_jobs();
    }

    event_loop& loop_;
    std::mt19937_64 random_;
    upstream_faults faults_;
    std::list<job> jobs_;
    std::deque<job*> queue_;
    int running_ = 0;
    std::uint64_t cancelled_ = 0;
    std::map<std::string, int> executions_; ///< By idempotency key; "-" for requests without one.
    std::set<evhttp_connection*> seen_connections_;
    std::set<evhttp_connection*> silenced_connections_;
    listener listener_;
};

} // namespace
} // namespace anvilpost::testing

int main(int argc, char** argv)
{
    const auto flags = anvilpost::read_flags(argc, argv, "testing/upstream/main.cpp", "STAND_IN_");
    if (!anvilpost::report_problems("upstream_stand_in", flags.problems_)) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    anvilpost::event_loop loop;
    const anvilpost::testing::upstream worker(loop, static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)));
    const anvilpost::signal_watch terminate(loop, SIGTERM, [] { std::quick_exit(0); });
    loop.run();
    return 0;
}
