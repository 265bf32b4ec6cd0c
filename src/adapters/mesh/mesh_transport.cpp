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
    auto* ipv4 = reinterpret_cast<sockaddr_in*>(&address);
    if (inet_pton(AF_INET, ip.c_str(), &ipv4->sin_addr) == 1) {
        ipv4->sin_family = AF_INET;
        ipv4->sin_port = htons(port);
        return sizeof(sockaddr_in);
    }
    auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&address);
    if (inet_pton(AF_INET6, ip.c_str(), &ipv6->sin6_addr) == 1) {
        ipv6->sin6_family = AF_INET6;
        ipv6->sin6_port = htons(port);
        return sizeof(sockaddr_in6);
    }
    return 0;
}

/// Turns off Nagle's algorithm, so that short messages are sent at once.
void disable_nagle_algorithm(bufferevent* stream)
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

std::string hmac_sha256_hex(const std::string& secret, const std::string& nonce)
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

bool verify_hmac_sha256_hex(const std::string& secret, const std::string& nonce, const std::string& proof)
{
    const auto expected = hmac_sha256_hex(secret, nonce);
    return proof.size() == expected.size() &&
           CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
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
    auto new_link = std::make_unique<link>(link{*this, id, stream, nullptr, std::move(host), false});
    link& peer_link = *new_link;
    links_[id] = std::move(new_link);
    bufferevent_setcb(
        stream,
        [](bufferevent*, void* arg) {
            static_cast<link*>(arg)->owner_.on_readable(*static_cast<link*>(arg));
        },
        nullptr,
        [](bufferevent*, short events, void* arg) {
            static_cast<link*>(arg)->owner_.on_event(*static_cast<link*>(arg), events);
        },
        &peer_link);
    return peer_link;
}

websocket_callbacks mesh_transport::make_callbacks(link& peer_link)
{
    return {[this, &peer_link](const char* bytes, std::size_t size) {
                bytes_sent_ += size;
                bufferevent_write(peer_link.stream_, bytes, size);
            },
            [this, &peer_link] {
                loop_.defer([this, id = peer_link.id_] {
                    const auto found = links_.find(id);
                    if (found == links_.end()) {
                        return;
                    }
                    found->second->host_.empty() ? agent_->on_accepted(id) : agent_->on_connected(id);
                });
            },
            [this, &peer_link](const std::string& message) {
                loop_.defer([this, id = peer_link.id_, message] {
                    if (links_.contains(id)) {
                        agent_->on_message(id, message);
                    }
                });
            },
            [this, &peer_link] { schedule_close(peer_link); }};
}

void mesh_transport::on_accept(int fd)
{
    evutil_make_socket_nonblocking(fd);
    bufferevent* stream = bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    disable_nagle_algorithm(stream);
    link& peer_link = add_link(stream, "");
    peer_link.session_ = websocket_session::make_server(make_callbacks(peer_link));
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

link_id mesh_transport::connect(const std::string& ip, std::uint16_t port)
{
    bufferevent* stream = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    link& peer_link = add_link(stream, ip + ":" + std::to_string(port));
    sockaddr_storage address{};
    const int length = make_address(ip, port, address);
    if (length == 0 ||
        bufferevent_socket_connect(stream, reinterpret_cast<sockaddr*>(&address), length) != 0) {
        schedule_close(peer_link);
    }
    return peer_link.id_;
}

void mesh_transport::on_event(link& peer_link, short events)
{
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        disable_nagle_algorithm(peer_link.stream_);
        peer_link.session_ = websocket_session::make_client(peer_link.host_, make_callbacks(peer_link));
        bufferevent_enable(peer_link.stream_, EV_READ | EV_WRITE);
        return;
    }
    schedule_close(peer_link);
}

void mesh_transport::on_readable(link& peer_link)
{
    evbuffer* input = bufferevent_get_input(peer_link.stream_);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    bytes_received_ += bytes.size();
    if (peer_link.session_ && !peer_link.closing_) {
        peer_link.session_->on_bytes(bytes.data(), bytes.size());
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
        schedule_close(*found->second);
    }
}

/// Destroys the link after the current callback has returned, since that callback may come from the
/// session of this link.
void mesh_transport::schedule_close(link& peer_link)
{
    if (peer_link.closing_) {
        return;
    }
    peer_link.closing_ = true;
    bufferevent_disable(peer_link.stream_, EV_READ);
    loop_.defer([this, id = peer_link.id_] {
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        const auto closed_link = std::move(found->second);
        links_.erase(found);
        closed_link->session_.reset();
        bufferevent_free(closed_link->stream_);
        agent_->on_closed(id);
    });
}

} // namespace anvilpost
