// Reads the kernel's table of TCP sockets and the open files of the process.
#include "support/socket_owner.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace anvilpost::testing {
namespace {

/// Returns the names, as links in /proc/PID/fd show them, of the sockets that are bound to the local port.
std::set<std::string> sockets_at_port(std::uint16_t port)
{
    std::set<std::string> names;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // The heading.
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string skipped;
        std::string inode;
        fields >> number >> local;
        constexpr int fields_before_inode = 7;
        for (int i = 0; i < fields_before_inode; ++i) {
            fields >> skipped;
        }
        fields >> inode;
        constexpr int hexadecimal = 16;
        const auto colon = local.find(':');
        if (colon != std::string::npos && std::stoi(local.substr(colon + 1), nullptr, hexadecimal) == port) {
            names.insert("socket:[" + inode + "]");
        }
    }
    return names;
}

bool has_open(pid_t process, const std::set<std::string>& wanted)
{
    std::error_code failure;
    const std::filesystem::directory_iterator open_files("/proc/" + std::to_string(process) + "/fd", failure);
    if (failure) {
        return false; // The process has ended.
    }
    for (const auto& entry : open_files) {
        if (wanted.contains(std::filesystem::read_symlink(entry.path(), failure).string())) {
            return true;
        }
    }
    return false;
}

} // namespace

bool owns_tcp_port(const std::vector<pid_t>& processes, std::uint16_t port)
{
    const auto wanted = sockets_at_port(port);
    return std::any_of(processes.begin(), processes.end(),
                       [&](pid_t process) { return has_open(process, wanted); });
}

} // namespace anvilpost::testing
