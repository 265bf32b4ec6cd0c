// Checks each guarantee at the earliest event that can show a violation of it.
#include "test_deployment/guarantee_checker.h"

#include "vocabulary/stable_hash.h"

#include <set>

namespace anvilpost::testing {
namespace {

/// By how much the platform lets a deadline passed to a worker exceed the caller's remaining time.
constexpr duration deadline_slack = std::chrono::milliseconds(500);

/// Longest response body, in repetitions of its first line.
constexpr std::size_t max_body_repeats = 400;

bool is_success(int status)
{
    constexpr int first = 200;
    constexpr int last = 299;
    return status >= first && status <= last;
}

/// Statuses by which a node guarantees that the request has not run and never will.
bool guarantees_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string guarantee_checker::response_body(const std::string& request_id, const std::string& path)
{
    const std::string line = request_id + " " + path + "\n";
    const auto repeats = 1 + stable_hash(request_id) % max_body_repeats;
    std::string body;
    body.reserve(line.size() * repeats);
    for (std::size_t i = 0; i < repeats; ++i) {
        body += line;
    }
    return body;
}

sent_request& guarantee_checker::on_sent(sent_request request)
{
    request.sent_at_ = now_();
    auto id = request.id_;
    return requests_[id] = std::move(request);
}

sent_request* guarantee_checker::find(const std::string& id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void guarantee_checker::report_violation(const std::string& guarantee, const std::string& detail)
{
    violations_.push_back(guarantee + ": " + detail);
}

void guarantee_checker::report_timing_violation(const std::string& guarantee, const std::string& detail)
{
    if (check_timing_) {
        report_violation(guarantee, detail);
    }
}

void guarantee_checker::on_arrival(const arrival& received)
{
    auto* request = find(received.request_id_);
    if (request == nullptr) {
        report_violation("only requests that callers sent reach workers",
                         "no caller sent the id '" + received.request_id_ + "'");
        return;
    }
    if (request->method_ != received.method_ || request->path_ != received.path_ ||
        request->body_ != received.body_) {
        report_violation("requests reach workers unchanged", received.request_id_);
    }
    request->arrived_at_.push_back(received.worker_);
    if (std::set<std::string>(request->arrived_at_.begin(), request->arrived_at_.end()).size() >
        static_cast<std::size_t>(request->max_attempts_)) {
        report_violation("attempts stay within the route's limit", received.request_id_);
    }
    if (!received.timing_unreliable_ &&
        received.time_left_ > request->time_left_ - (now_() - request->sent_at_) + deadline_slack) {
        report_timing_violation("deadlines shrink", received.request_id_);
    }
}

void guarantee_checker::on_run(const std::string& worker, const std::string& request_id)
{
    auto* request = find(request_id);
    if (request == nullptr) {
        return;
    }
    request->ran_at_.push_back(worker);
    if (!request->repeatable_ && request->ran_at_.size() > 1) {
        report_violation("unrepeatable requests run once", request_id);
    }
}

void guarantee_checker::on_response_aborted(const std::string& request_id)
{
    if (auto* request = find(request_id)) {
        request->response_aborted_ = true;
    }
}

void guarantee_checker::on_response(sent_request& request, const received_response& response)
{
    request.outcome_ = request_outcome::answered;
    request.ended_at_ = now_();
    request.status_ = response.status_;
    if (!is_success(response.status_)) {
        return;
    }
    const bool is_own = response.echoed_id_ == request.id_ && !response.stamp_.empty();
    if (!is_own || response.body_ != response_body(request.id_, request.path_)) {
        report_violation("callers receive the complete answer to their own request",
                         request.id_ + " got " + std::to_string(response.body_.size()) + " bytes, id '" +
                             response.echoed_id_ + "'");
    }
}

void guarantee_checker::on_closed(sent_request& request)
{
    request.outcome_ = request_outcome::closed;
    request.ended_at_ = now_();
}

void guarantee_checker::on_timeout(sent_request& request)
{
    request.outcome_ = request_outcome::timed_out;
    request.ended_at_ = now_();
}

void guarantee_checker::check_final_state()
{
    for (const auto& [id, request] : requests_) {
        const bool refused =
            request.outcome_ == request_outcome::answered && guarantees_not_run(request.status_);
        if (refused && !request.repeatable_ && !request.ran_at_.empty()) {
            report_violation("refused requests have not run", id + " got " + std::to_string(request.status_) +
                                                                  " and ran at " + request.ran_at_.front());
        }
    }
}

} // namespace anvilpost::testing
