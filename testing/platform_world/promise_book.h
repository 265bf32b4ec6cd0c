// Keeps account of what callers sent, what workers ran and what callers got, and names each promise of the
// platform's pages that was broken. It knows nothing of the nodes between them.
#pragma once

#include "vocabulary/core_clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace anvilpost::testing {

enum class request_end { open, answered, closed, given_up };

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
    std::vector<std::string> arrived_at_; ///< Workers that it reached, whether they ran it or not.
    std::vector<std::string> ran_at_;
    bool worker_faulty_ = false; ///< A worker broke off an answer to it, by the test's own doing.
};

/// An answer as its caller received it.
struct received_answer {
    int status_ = 0;
    std::string echoed_id_;
    std::string stamp_;
    std::string body_;
};

struct arrival {
    std::string worker_;
    std::string service_;
    std::string request_id_;
    std::string method_;
    std::string path_;
    std::string body_;
    duration time_left_{};
    bool held_up_ = false; ///< The link or the test itself was held up lately; its time proves nothing.
};

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

    /// Notes a broken promise that somebody else has found.
    void report(const std::string& promise, const std::string& detail);

    /// The same for a promise with a time bound; these are left out where the machine's pace is unknown.
    void report_late(const std::string& promise, const std::string& detail);
    void leave_out_times() { check_times_ = false; }

    /// Checks what can only be told once everything has ended.
    void check_at_the_end();

    [[nodiscard]] sent_request* find(const std::string& id);
    [[nodiscard]] const std::map<std::string, sent_request>& requests() const { return requests_; }
    [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }

    /// The body that a worker answers with; whole answers can be told from it.
    static std::string answer_body(const std::string& request_id, const std::string& path);

private:
    std::function<time_point()> now_;
    std::map<std::string, sent_request> requests_;
    std::vector<std::string> broken_;
    bool check_times_ = true;
};

} // namespace anvilpost::testing
