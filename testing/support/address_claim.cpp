// Implements claims by sockets that stay bound until the process ends: the operating system binds an address
// to one socket at a time, and releases it when its process dies.
#include "support/address_claim.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace anvilpost::testing {
namespace {

constexpr std::uint16_t first_range_port = 20'000;
constexpr int range_count = 120; ///< The last range ends below 32,768, the first ephemeral port.

/// Host and port that a claim on a network binds; deployments use neither.
constexpr const char* network_claim_host = ".255.254";
constexpr std::uint16_t network_claim_port = 19'999;

/// Binds the address for the rest of the process's life. Returns false when another socket has it.
bool bind_for_good(const std::string& ip, std::uint16_t port)
{
    const int claim = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    if (bind(claim, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
        return true;
    }
    close(claim);
    return false;
}

} // namespace

std::uint16_t claim_port_range()
{
    // Processes start at different places, so that few of them try a range that is taken.
    const int start = getpid() % range_count;
    for (int i = 0; i < range_count; ++i) {
        const auto first =
            static_cast<std::uint16_t>(first_range_port + (start + i) % range_count * ports_per_range);
        if (bind_for_good("127.0.0.1", static_cast<std::uint16_t>(first + ports_per_range - 1))) {
            return first;
        }
    }
    throw std::runtime_error("all ranges of test ports are claimed by other processes");
}

int claim_loopback_network(int first, int last)
{
    const int count = last - first + 1;
    for (int i = 0; i < count; ++i) {
        const int network = first + (getpid() + i) % count;
        if (bind_for_good("127." + std::to_string(network) + network_claim_host, network_claim_port)) {
            return network;
        }
    }
    throw std::runtime_error("all loopback networks for tests are claimed by other processes");
}

} // namespace anvilpost::testing
