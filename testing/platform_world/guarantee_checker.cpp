// Checks each guarantee at the earliest event that can show a violation of it.
#include "platform_world/guarantee_checker.h"

#include "vocabulary/stable_hash.h"

#include <set>

namespace anvilpost::testing {
namespace {

/// By how much the platform lets a deadline passed to a worker exceed the caller's remaining time.
constexpr duration deadline_slack = std::chrono::milliseconds(500);

/// Longest answer body, in repetitions of its first line.
constexpr std::size_t most_body_repeats = 400;

bool is_success(int status)
{
    constexpr int first = 200;
    constexpr int last = 299;
    return status >= first && status <= last;
}

/// Statuses by which a node guarantees that the request has not run and never will.
bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

std::string promise_book::answer_body(const std::string& request_id, const std::string& path)
{
    const std::string part = request_id + " " + path + "\n";
    const auto repeats = 1 + stable_hash(request_id) % most_body_repeats;
    std::string body;
    body.reserve(part.size() * repeats);
    for (std::size_t i = 0; i < repeats; ++i) {
        body += part;
    }
    return body;
}

sent_request& promise_book::on_sent(sent_request request)
{
    request.sent_ = now_();
    auto id = request.id_;
    return requests_[id] = std::move(request);
}

sent_request* promise_book::find(const std::string& id)
{
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void promise_book::report(const std::string& promise, const std::string& detail)
{
    broken_.push_back(promise + ": " + detail);
}

void promise_book::report_late(const std::string& promise, const std::string& detail)
{
    if (check_times_) {
        report(promise, detail);
    }
}

void promise_book::on_arrival(const arrival& what)
{
    auto* request = find(what.request_id_);
    if (request == nullptr) {
        report("only requests that callers sent reach workers",
               "no caller sent the id '" + what.request_id_ + "'");
        return;
    }
    if (request->method_ != what.method_ || request->path_ != what.path_ || request->body_ != what.body_) {
        report("requests reach workers unchanged", what.request_id_);
    }
    request->arrived_at_.push_back(what.worker_);
    if (std::set<std::string>(request->arrived_at_.begin(), request->arrived_at_.end()).size() >
        static_cast<std::size_t>(request->max_attempts_)) {
        report("attempts stay within the route's limit", what.request_id_);
    }
    if (!what.held_up_ &&
        what.time_left_ > request->time_left_ - (now_() - request->sent_) + deadline_slack) {
        report_late("deadlines shrink", what.request_id_);
    }
}

void promise_book::on_run(const std::string& worker, const std::string& request_id)
{
    auto* request = find(request_id);
    if (request == nullptr) {
        return;
    }
    request->ran_at_.push_back(worker);
    if (!request->repeatable_ && request->ran_at_.size() > 1) {
        report("unrepeatable requests run once", request_id);
    }
}

void promise_book::on_worker_broke_off(const std::string& request_id)
{
    if (auto* request = find(request_id)) {
        request->worker_faulty_ = true;
    }
}

void promise_book::on_answer(sent_request& request, const received_answer& answer)
{
    request.end_ = request_end::answered;
    request.ended_ = now_();
    request.status_ = answer.status_;
    if (!is_success(answer.status_)) {
        return;
    }
    const bool own = answer.echoed_id_ == request.id_ && !answer.stamp_.empty();
    if (!own || answer.body_ != answer_body(request.id_, request.path_)) {
        report("callers receive the complete answer to their own request",
               request.id_ + " got " + std::to_string(answer.body_.size()) + " bytes, id '" +
                   answer.echoed_id_ + "'");
    }
}

void promise_book::on_closed(sent_request& request)
{
    request.end_ = request_end::closed;
    request.ended_ = now_();
}

void promise_book::on_given_up(sent_request& request)
{
    request.end_ = request_end::given_up;
    request.ended_ = now_();
}

void promise_book::check_at_the_end()
{
    for (const auto& [id, request] : requests_) {
        const bool refused = request.end_ == request_end::answered && promises_not_run(request.status_);
        if (refused && !request.repeatable_ && !request.ran_at_.empty()) {
            report("refused requests have not run",
                   id + " got " + std::to_string(request.status_) + " and ran at " + request.ran_at_.front());
        }
    }
}

} // namespace anvilpost::testing
