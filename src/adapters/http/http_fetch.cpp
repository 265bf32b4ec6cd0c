// Implementation of the HTTP client with one connection per request, and of address parsing.
#include "adapters/http/http_fetch.h"

#include "adapters/http/response_end.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>

namespace anvilpost {
namespace {

constexpr std::size_t max_head_bytes = 64UL * 1024;

/// State of one request; deletes itself after the callback, or is deleted when the loop is destroyed.
class pending_fetch {
public:
    pending_fetch(event_loop& loop, const fetch_request& request,
                  std::function<void(const fetch_result&)> done);
    pending_fetch(const pending_fetch&) = delete;
    pending_fetch& operator=(const pending_fetch&) = delete;
    ~pending_fetch() = default;

    void start(const fetch_request& request);

private:
    void on_event(short what);
    void read(receive_state from_server);
    [[nodiscard]] bool over_limit() const;
    [[nodiscard]] fetch_result read_result() const;
    void finish(const fetch_result& result);
    void fail() { finish({0, sent_, {}, {}}); }

    event_loop& loop_;
    std::function<void(const fetch_result&)> done_;
    std::size_t max_body_bytes_;
    std::unique_ptr<bufferevent, bufferevent_deleter> stream_;
    std::unique_ptr<message_reader> reader_;
    timer deadline_;
    bool connected_ = false;
    bool sent_ = false;
    bool finished_ = false;
    event_loop::cleanup_id cleanup_;
};

std::unique_ptr<message_reader> make_reader()
{
    return std::make_unique<message_reader>(message_side::response, max_head_bytes);
}

std::string request_head(const fetch_request& request)
{
    std::string head = request.method_ + " " + request.target_ + " HTTP/1.1\r\n";
    const auto add = [&head](const std::string& name, const std::string& value) {
        head += name + ": " + value + "\r\n";
    };
    add("Host", request.host_.empty() ? request.ip_ + ":" + std::to_string(request.port_) : request.host_);
    add("Connection", "close");
    for (const auto& [name, value] : request.headers_) {
        add(name, value);
    }
    if (!request.body_.empty() || request.method_ == "PUT" || request.method_ == "POST") {
        add("Content-Length", std::to_string(request.body_.size()));
    }
    return head + "\r\n";
}

pending_fetch::pending_fetch(event_loop& loop, const fetch_request& request,
                             std::function<void(const fetch_result&)> done)
    : loop_(loop), done_(std::move(done)), max_body_bytes_(request.max_body_bytes_),
      stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)), reader_(make_reader()),
      deadline_(loop, [this] { fail(); }), cleanup_(loop.add_cleanup([this] { delete this; }))
{
    bufferevent_setcb(
        stream_.get(),
        [](bufferevent*, void* arg) { static_cast<pending_fetch*>(arg)->read(receive_state::open); }, nullptr,
        [](bufferevent*, short what, void* arg) { static_cast<pending_fetch*>(arg)->on_event(what); }, this);
    evbuffer_add_cb(
        bufferevent_get_output(stream_.get()),
        [](evbuffer*, const evbuffer_cb_info* info, void* arg) {
            auto* owner = static_cast<pending_fetch*>(arg);
            owner->sent_ = owner->sent_ || info->n_deleted > 0;
        },
        this);
    deadline_.start(request.timeout_);
}

void pending_fetch::start(const fetch_request& request)
{
    const std::string head = request_head(request);
    bufferevent_write(stream_.get(), head.data(), head.size());
    bufferevent_write(stream_.get(), request.body_.data(), request.body_.size());
    sockaddr_storage address{};
    const int length = to_socket_address(request.ip_, request.port_, address);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    if (length == 0 ||
        bufferevent_socket_connect(stream_.get(), reinterpret_cast<sockaddr*>(&address), length) != 0) {
        fail();
    }
}

void pending_fetch::on_event(short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connected_ = true;
        return;
    }
    if (!connected_) {
        fail();
        return;
    }
    const auto from_server = (what & BEV_EVENT_EOF) != 0 ? receive_state::closed : receive_state::reset;
    if (from_server == receive_state::reset) {
        receive_remaining_input(stream_.get(), max_head_bytes + max_body_bytes_);
    }
    read(from_server);
    if (!finished_) {
        fail(); // The server has closed its side before it has received the whole request.
    }
}

void pending_fetch::read(receive_state from_server)
{
    while (!finished_) {
        const auto outcome = read_response(*reader_, stream_.get(), from_server);
        const bool failed = outcome == read_status::malformed || outcome == read_status::head_too_large;
        if (failed || over_limit()) {
            fail();
        }
        else if (outcome == read_status::more) {
            return;
        }
        else if (reader_->head().status_ < first_final_status) {
            reader_ = make_reader(); // An interim response (RFC 9110, section 15.2).
        }
        else {
            finish(read_result());
        }
    }
}

bool pending_fetch::over_limit() const
{
    const auto framed = parse_framing(reader_->head().headers_);
    const auto announced = framed ? framed->content_length_.value_or(0) : 0;
    return std::max<std::uint64_t>(announced, reader_->body_bytes_seen()) > max_body_bytes_;
}

fetch_result pending_fetch::read_result() const
{
    fetch_result result{reader_->head().status_, sent_, {}, {}};
    for (const auto& [header, value] : reader_->head().headers_) {
        std::string name = header;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        result.headers_[name] = value;
    }
    result.body_.resize(reader_->body_bytes_seen());
    evbuffer_copyout(reader_->body(), result.body_.data(), result.body_.size());
    return result;
}

void pending_fetch::finish(const fetch_result& result)
{
    if (finished_) {
        return;
    }
    finished_ = true;
    bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
    loop_.defer([this, result] {
        loop_.remove_cleanup(cleanup_);
        const std::unique_ptr<pending_fetch> owned(this);
        stream_.reset();
        done_(result);
    });
}

} // namespace

void fetch(event_loop& loop, const fetch_request& request, std::function<void(const fetch_result&)> done)
{
    auto* pending = new pending_fetch(loop, request, std::move(done));
    pending->start(request);
}

bool parse_address(const std::string& text, std::string& ip, std::uint16_t& port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    in6_addr parsed_address{};
    if (inet_pton(AF_INET, host.c_str(), &parsed_address) != 1 &&
        inet_pton(AF_INET6, host.c_str(), &parsed_address) != 1) {
        return false;
    }
    unsigned parsed = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data() + colon + 1, end, parsed);
    if (error != std::errc{} || stopped != end || parsed == 0 || parsed > 65'535) {
        return false;
    }
    ip = host;
    port = static_cast<std::uint16_t>(parsed);
    return true;
}

int to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_storage& address)
{
    address = {};
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address);
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&address);
    if (inet_pton(AF_INET, ip.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    if (inet_pton(AF_INET6, ip.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

std::uint16_t local_port(int socket)
{
    sockaddr_storage bound{};
    socklen_t length = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &length);
    return bound.ss_family == AF_INET6 ? ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port)
                                       : ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
}

} // namespace anvilpost
