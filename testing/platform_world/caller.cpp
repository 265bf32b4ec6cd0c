// Sends one request at a time over a raw HTTP/1.1 connection and reports each outcome to the guarantee
// checker.
#include "platform_world/caller.h"

#include "adapters/http/header_rules.h"
#include "adapters/http/http_fetch.h"

namespace anvilpost::testing {
namespace {

constexpr std::size_t largest_head = 64UL * 1024;
constexpr std::size_t largest_request_body = 20'000;

/// Every n-th request opens a new connection, so that the nodes see connections open and close.
constexpr int requests_per_connection = 20;

} // namespace

caller::caller(event_loop& loop, promise_book& book, random_port& random, std::string name, sources from)
    : loop_(loop), book_(book), random_(random), name_(std::move(name)), from_(std::move(from)),
      next_(loop, [this] { send_next(); }), deadline_(loop, [this] { give_up(); })
{
}

void caller::start(duration pause)
{
    pause_ = pause;
    rest();
}

void caller::rest()
{
    if (!stopped_) {
        next_.start(duration(
            static_cast<duration::rep>(static_cast<double>(pause_.count()) * 2 * random_unit(random_))));
    }
}

void caller::send_next()
{
    const auto kind = from_.kind_();
    sent_request request;
    request.id_ = name_ + "-" + std::to_string(++sent_);
    request.method_ = kind.repeatable_ ? "GET" : "POST";
    request.path_ = kind.path_prefix_ + std::to_string(random_below(random_, 1000));
    if (!kind.repeatable_) {
        request.body_ = std::string(random_below(random_, largest_request_body), 'b');
    }
    request.repeatable_ = kind.repeatable_;
    request.max_attempts_ = kind.max_attempts_;
    request.time_left_ = kind.time_left_;
    host_ = kind.host_;
    const bool kept = stream_ != nullptr && sent_ % requests_per_connection != 0;
    if (!kept) {
        end_connection();
        connect();
    }
    request.node_ = node_;
    request.on_kept_connection_ = kept;
    current_ = &book_.on_sent(std::move(request));
    reader_ = std::make_unique<message_reader>(message_side::answer, largest_head);
    deadline_.start(kind.time_left_);
    write_request();
}

void caller::connect()
{
    const auto chosen = from_.node_();
    node_ = chosen.number_;
    stream_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<caller*>(self)->on_input(); }, nullptr,
        [](bufferevent*, short what, void* self) {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                static_cast<caller*>(self)->on_closed();
            }
        },
        this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    sockaddr_storage address{};
    const int length = to_socket_address(chosen.address_.ip_, chosen.address_.port_, address);
    bufferevent_socket_connect(stream_.get(), reinterpret_cast<sockaddr*>(&address), length);
}

void caller::write_request()
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(current_->time_left_).count();
    std::string bytes = current_->method_ + " " + current_->path_ + " HTTP/1.1\r\nHost: " + host_ +
                        "\r\nAnvilpost-Request-Id: " + current_->id_ +
                        "\r\nAnvilpost-Deadline-Ms: " + std::to_string(left) + "\r\n";
    if (current_->method_ == "POST") {
        bytes += "Content-Length: " + std::to_string(current_->body_.size()) + "\r\n";
    }
    bytes += "\r\n" + current_->body_;
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
}

void caller::on_input()
{
    if (current_ == nullptr) {
        book_.report("callers receive no unsolicited bytes",
                     name_ + " received bytes without an open request");
        end_connection();
        return;
    }
    const auto state = reader_->feed(bufferevent_get_input(stream_.get()));
    if (state == reading::more) {
        return;
    }
    if (state != reading::complete) {
        book_.report("callers receive well-formed answers", current_->id_);
        end_connection();
    }
    received_answer answer;
    const auto& head = reader_->head();
    answer.status_ = head.status_;
    answer.echoed_id_ = find_header(head.headers_, "Anvilpost-Request-Id").value_or("");
    answer.stamp_ = find_header(head.headers_, "Anvilpost-Server-Stamp").value_or("");
    answer.body_.resize(evbuffer_get_length(reader_->body()));
    evbuffer_copyout(reader_->body(), answer.body_.data(), answer.body_.size());
    const bool keep = head.keep_alive_;
    deadline_.stop();
    book_.on_answer(*current_, answer);
    current_ = nullptr;
    if (!keep) {
        end_connection();
    }
    rest();
}

void caller::on_closed()
{
    end_connection();
    if (current_ != nullptr) {
        deadline_.stop();
        book_.on_closed(*std::exchange(current_, nullptr));
        rest();
    }
}

void caller::give_up()
{
    if (current_ != nullptr) {
        book_.on_given_up(*std::exchange(current_, nullptr));
        end_connection();
        rest();
    }
}

void caller::end_connection()
{
    // A callback of the stream may be on the stack, so the stream is freed after it returns.
    if (auto* ended = stream_.release()) {
        bufferevent_setcb(ended, nullptr, nullptr, nullptr, nullptr);
        bufferevent_disable(ended, EV_READ);
        loop_.defer([ended] { bufferevent_free(ended); });
    }
}

} // namespace anvilpost::testing
