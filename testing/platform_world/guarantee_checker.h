// Checks the guarantees that the platform's documentation gives for requests. It records what callers sent,
// what workers ran and what callers received, and lists each violation. It is independent of the nodes in
// between.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace anvilpost::testing {

/// How a request ended, as its caller saw it.
enum class request_end { open, answered, closed, given_up };

/// A request and everything observed about it so far.
struct sent_request {
    std::string id_;
    std::string method_;
    std::string path_;
    std::string body_;
    bool repeatable_ = true;
    int max_attempts_ = 2;
    time_point sent_{};
    duration time_left_{};
    int node_ = 0;
    bool on_kept_connection_ = false;
    request_end end_ = request_end::open;
    time_point ended_{};
    int status_ = 0;
    std::vector<std::string> arrived_at_; ///< Workers that received it, whether they ran it or not.
    std::vector<std::string> ran_at_;
    bool worker_faulty_ = false; ///< An injected fault made a worker abort its answer.
};

/// An answer as its caller received it.
struct received_answer {
    int status_ = 0;
    std::string echoed_id_;
    std::string stamp_;
    std::string body_;
};

/// A request as a worker received it.
struct arrival {
    std::string worker_;
    std::string service_;
    std::string request_id_;
    std::string method_;
    std::string path_;
    std::string body_;
    duration time_left_{};
    bool held_up_ =
        false; ///< The link, the node or the test process was delayed recently: timing isn't checked.
};

/// Invariant: requests are never removed, so references that `on_sent` and `find` return stay valid.
class promise_book {
public:
    explicit promise_book(std::function<time_point()> now) : now_(std::move(now)) {}

    sent_request& on_sent(sent_request request);
    void on_arrival(const arrival& what);
    void on_run(const std::string& worker, const std::string& request_id);
    void on_worker_broke_off(const std::string& request_id);
    void on_answer(sent_request& request, const received_answer& answer);
    void on_closed(sent_request& request);
    void on_given_up(sent_request& request);

    /// Adds a violation that was found outside this class.
    void report(const std::string& promise, const std::string& detail);

    /// Adds a violation of a time bound; ignored after `leave_out_times`, which is meant for machines whose
    /// speed is unknown (CI).
    void report_late(const std::string& promise, const std::string& detail);
    void leave_out_times() { check_times_ = false; }

    /// Checks guarantees that can be decided only after all requests have ended.
    void check_at_the_end();

    [[nodiscard]] sent_request* find(const std::string& id);
    [[nodiscard]] const std::map<std::string, sent_request>& requests() const { return requests_; }
    [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }

    /// Body of a worker's answer. It is derived from the request, so truncated or foreign answers are
    /// detected.
    static std::string answer_body(const std::string& request_id, const std::string& path);

private:
    std::function<time_point()> now_;
    std::map<std::string, sent_request> requests_;
    std::vector<std::string> broken_;
    bool check_times_ = true;
};

} // namespace anvilpost::testing
