// A small asynchronous HTTP client that returns complete responses of limited size. It is used for requests
// to the platform and to other nodes, for fleet_member's probes and by the command-line tool. Calls to
// upstreams go through upstream_pool.
#pragma once

#include "adapters/event/event_loop.h"

#include <functional>
#include <map>
#include <string>
#include <sys/socket.h>

namespace anvilpost {

/// One request and its limits.
struct fetch_request {
    std::string method_ = "GET"; ///< GET, PUT, POST or DELETE.
    std::string ip_;
    std::uint16_t port_ = 0;
    std::string target_ = "/";
    std::string host_; ///< Value of the Host header; "ip:port" when empty.
    std::map<std::string, std::string> headers_;
    std::string body_;
    duration timeout_ = std::chrono::seconds(5);     ///< For the whole exchange, including connecting.
    std::size_t max_body_bytes_ = 4UL * 1024 * 1024; ///< Of the response, in bytes.
};

/// The response, or what is known of a failed request.
struct fetch_result {
    int status_ = 0;                             ///< 0 when no complete response arrived.
    bool sent_ = false;                          ///< At least one byte of the request was written.
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_;
};

/// Sends the request on a new connection, which is closed afterwards. `done` is called from the event loop,
/// never from inside `fetch`, and exactly once unless the loop is destroyed first.
void fetch(event_loop& loop, const fetch_request& request, std::function<void(const fetch_result&)> done);

/// Parses "ip:port" or "[ip]:port" with a numeric address. Returns false when `text` has another form.
bool parse_address(const std::string& text, std::string& ip, std::uint16_t& port);

/// Fills in a socket address from a numeric IPv4 or IPv6 address. Returns its length in bytes, or 0 when
/// `ip` is not such an address.
int to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_storage& address);

/// Returns the port to which a socket is bound.
std::uint16_t local_port(int socket);

} // namespace anvilpost
