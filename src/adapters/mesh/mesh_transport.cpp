// Opens, reads, writes and closes the TCP connections between the nodes of the mesh.
#include "adapters/mesh/mesh_transport.h"

#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdexcept>

namespace anvilpost {
namespace {

/// Fills a socket address. Returns its length in bytes, or 0 when `ip` is not a numeric address.
int make_address(const std::string& ip, std::uint16_t port, sockaddr_storage& address)
{
    auto* four = reinterpret_cast<sockaddr_in*>(&address);
    if (inet_pton(AF_INET, ip.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    auto* six = reinterpret_cast<sockaddr_in6*>(&address);
    if (inet_pton(AF_INET6, ip.c_str(), &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

/// Turns off Nagle's algorithm, so that short messages are sent at once.
void send_without_delay(bufferevent* stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

std::string prove_secret(const std::string& secret, const std::string& nonce)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(nonce.data()), nonce.size(), digest.data(), &size);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < size; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 15U];
    }
    return text;
}

mesh_transport::~mesh_transport()
{
    if (listener_ != nullptr) {
        evconnlistener_free(listener_);
    }
    for (auto& [unused, open] : links_) {
        bufferevent_free(open->stream_);
    }
}

void mesh_transport::listen(const std::string& ip, std::uint16_t port)
{
    sockaddr_storage address{};
    const int length = make_address(ip, port, address);
    constexpr int backlog = 64;
    listener_ = evconnlistener_new_bind(
        loop_.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
            static_cast<mesh_transport*>(arg)->on_accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog, reinterpret_cast<sockaddr*>(&address),
        length);
    if (length == 0 || listener_ == nullptr) {
        throw std::runtime_error("cannot listen for mesh connections on " + ip + ":" + std::to_string(port));
    }
}

mesh_transport::link& mesh_transport::add_link(bufferevent* stream, std::string host)
{
    const link_id id{next_link_++};
    auto added = std::make_unique<link>(link{*this, id, stream, nullptr, std::move(host), false});
    link& of = *added;
    links_[id] = std::move(added);
    bufferevent_setcb(
        stream,
        [](bufferevent*, void* arg) {
            static_cast<link*>(arg)->owner_.on_readable(*static_cast<link*>(arg));
        },
        nullptr,
        [](bufferevent*, short what, void* arg) {
            static_cast<link*>(arg)->owner_.on_event(*static_cast<link*>(arg), what);
        },
        &of);
    return of;
}

websocket_callbacks mesh_transport::callbacks_for(link& of)
{
    return {[this, &of](const char* bytes, std::size_t size) {
                bytes_sent_ += size;
                bufferevent_write(of.stream_, bytes, size);
            },
            [this, &of] {
                loop_.defer([this, id = of.id_] {
                    const auto found = links_.find(id);
                    if (found == links_.end()) {
                        return;
                    }
                    found->second->host_.empty() ? agent_->on_accepted(id) : agent_->on_connected(id);
                });
            },
            [this, &of](const std::string& message) {
                loop_.defer([this, id = of.id_, message] {
                    if (links_.contains(id)) {
                        agent_->on_message(id, message);
                    }
                });
            },
            [this, &of] { drop(of); }};
}

void mesh_transport::on_accept(int fd)
{
    evutil_make_socket_nonblocking(fd);
    bufferevent* stream = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    send_without_delay(stream);
    link& of = add_link(stream, "");
    of.session_ = websocket_session::make_server(callbacks_for(of));
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

link_id mesh_transport::connect(const std::string& ip, std::uint16_t port)
{
    bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    link& of = add_link(stream, ip + ":" + std::to_string(port));
    sockaddr_storage address{};
    const int length = make_address(ip, port, address);
    if (length == 0 ||
        bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), length) != 0) {
        drop(of);
    }
    return of.id_;
}

void mesh_transport::on_event(link& from, short what)
{
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        send_without_delay(from.stream_);
        from.session_ = websocket_session::make_client(from.host_, callbacks_for(from));
        bufferevent_enable(from.stream_, EV_READ | EV_WRITE);
        return;
    }
    drop(from);
}

void mesh_transport::on_readable(link& from)
{
    evbuffer* input = bufferevent_get_input(from.stream_);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    bytes_received_ += bytes.size();
    if (from.session_ && !from.closing_) {
        from.session_->on_bytes(bytes.data(), bytes.size());
    }
}

void mesh_transport::send(link_id id, const std::string& bytes)
{
    const auto found = links_.find(id);
    if (found != links_.end() && found->second->session_ && !found->second->closing_) {
        found->second->session_->send(bytes);
    }
}

void mesh_transport::close(link_id id)
{
    if (const auto found = links_.find(id); found != links_.end()) {
        drop(*found->second);
    }
}

/// Destroys the link after the current callback has returned, since that callback may come from the
/// session of this link.
void mesh_transport::drop(link& dropped)
{
    if (dropped.closing_) {
        return;
    }
    dropped.closing_ = true;
    bufferevent_disable(dropped.stream_, EV_READ);
    loop_.defer([this, id = dropped.id_] {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        const auto owned = std::move(found->second);
        links_.erase(found);
        owned->session_.reset();
        bufferevent_free(owned->stream_);
        agent_->on_closed(id);
    });
}

} // namespace anvilpost
