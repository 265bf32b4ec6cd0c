// A small HTTP client for whole, bounded answers; used towards the platform, for probes and by the
// command-line tool. Calls to upstreams go through upstream_pool instead.
#pragma once

#include "adapters/event/event_loop.h"

#include <functional>
#include <map>
#include <string>
#include <sys/socket.h>

namespace anvilpost {

struct fetch_request {
    std::string method_ = "GET"; ///< GET, PUT, POST or DELETE.
    std::string ip_;
    std::uint16_t port_ = 0;
    std::string target_ = "/";
    std::string host_; ///< Host header; the address when empty.
    std::map<std::string, std::string> headers_;
    std::string body_;
    duration timeout_ = std::chrono::seconds(5);
    std::size_t max_body_ = 4UL * 1024 * 1024;
};

struct fetch_result {
    int status_ = 0;                             ///< 0 when no whole answer arrived.
    bool sent_ = false;                          ///< At least one byte was written to the network.
    std::map<std::string, std::string> headers_; ///< Names in lower case.
    std::string body_;
};

/// Fetches on a new connection and closes it. The callback comes from the loop, exactly once.
void fetch(event_loop& loop, const fetch_request& request, std::function<void(const fetch_result&)> done);

/// Splits "ip:port" or "[ip]:port". Returns false when `text` has no such form.
bool parse_address(const std::string& text, std::string& ip, std::uint16_t& port);

/// Fills in a socket address from a numeric IPv4 or IPv6 address. Returns its length, 0 when unreadable.
int to_socket_address(const std::string& ip, std::uint16_t port, sockaddr_storage& address);

} // namespace anvilpost
