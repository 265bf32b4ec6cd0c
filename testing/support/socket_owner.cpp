// Asks the kernel for the socket at the other end (sock_diag(7)) and looks for it in the open files of the
// processes. Cheaper than reading the table of all sockets, which grows with the connections of other tests.
#include "support/socket_owner.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace anvilpost::testing {
namespace {

struct diag_request {
    nlmsghdr header_;
    inet_diag_req_v2 body_;
};

/// Returns the inode of the local TCP socket with these addresses; 0 when there is none any more.
std::uint32_t inode_of(const sockaddr_in& own, const sockaddr_in& peer)
{
    const int kernel = socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (kernel < 0) {
        return 0;
    }
    diag_request request{};
    request.header_.nlmsg_len = sizeof request;
    request.header_.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header_.nlmsg_flags = NLM_F_REQUEST;
    request.body_.sdiag_family = AF_INET;
    request.body_.sdiag_protocol = IPPROTO_TCP;
    request.body_.idiag_states = ~0U;
    request.body_.id.idiag_sport = own.sin_port;
    request.body_.id.idiag_dport = peer.sin_port;
    request.body_.id.idiag_src[0] = own.sin_addr.s_addr;
    request.body_.id.idiag_dst[0] = peer.sin_addr.s_addr;
    request.body_.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.body_.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    constexpr std::size_t reply_bytes = 4096;
    alignas(nlmsghdr) std::array<char, reply_bytes> reply{};
    std::uint32_t inode = 0;
    if (send(kernel, &request, sizeof request, 0) == static_cast<ssize_t>(sizeof request) &&
        recv(kernel, reply.data(), reply.size(), 0) >=
            static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg)))) {
        const auto* header = reinterpret_cast<const nlmsghdr*>(reply.data());
        if (header->nlmsg_type == SOCK_DIAG_BY_FAMILY) {
            inode = static_cast<const inet_diag_msg*>(NLMSG_DATA(header))->idiag_inode;
        }
    }
    close(kernel);
    return inode;
}

bool has_open(pid_t process, const std::string& file)
{
    std::error_code failure;
    const std::filesystem::directory_iterator open_files("/proc/" + std::to_string(process) + "/fd", failure);
    if (failure) {
        return false; // The process has ended.
    }
    return std::any_of(begin(open_files), end(open_files), [&](const auto& entry) {
        std::error_code closed;
        return std::filesystem::read_symlink(entry.path(), closed).string() == file;
    });
}

} // namespace

bool is_connected_to(int accepted, const std::vector<pid_t>& processes)
{
    sockaddr_in own{};
    sockaddr_in peer{};
    socklen_t own_length = sizeof own;
    socklen_t peer_length = sizeof peer;
    if (getsockname(accepted, reinterpret_cast<sockaddr*>(&own), &own_length) != 0 ||
        getpeername(accepted, reinterpret_cast<sockaddr*>(&peer), &peer_length) != 0) {
        return false;
    }
    const auto inode = inode_of(peer, own);
    const std::string file = "socket:[" + std::to_string(inode) + "]";
    return inode != 0 && std::any_of(processes.begin(), processes.end(),
                                     [&](pid_t process) { return has_open(process, file); });
}

} // namespace anvilpost::testing
