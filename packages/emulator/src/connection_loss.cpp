#include <rattanbay/emulator/connection_loss.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <optional>
#include <string>
#include <system_error>

namespace rattanbay::emulator {

namespace {

/// In this mode of Linux, a socket that is disconnected sends nothing to the other side.
bool enable_repair_mode(int socket) {
    const int enabled = 1;
    return ::setsockopt(socket, IPPROTO_TCP, TCP_REPAIR, &enabled, sizeof(enabled)) == 0;
}

bool disconnect(int socket) {
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    return ::connect(socket, &unspecified, sizeof(unspecified)) == 0;
}

/// Local address of a connected TCP socket.
std::optional<base::address> local_address_of(int socket) {
    sockaddr_in local{};
    sockaddr_in remote{};
    socklen_t local_size = sizeof(local);
    socklen_t remote_size = sizeof(remote);
    // The socket interface takes the addresses of all families through this pointer type.
    const bool connected = ::getsockname(socket, reinterpret_cast<sockaddr*>(&local), &local_size) == 0 &&
                           ::getpeername(socket, reinterpret_cast<sockaddr*>(&remote), &remote_size) == 0;
    if (!connected || local.sin_family != AF_INET) {
        return std::nullopt;
    }
    const std::uint32_t ip = ntohl(local.sin_addr.s_addr);
    const auto byte = [ip](unsigned shift) { return static_cast<std::uint8_t>(ip >> shift); };
    return base::address{{byte(24), byte(16), byte(8), byte(0)}, ntohs(local.sin_port)};
}

} // namespace

bool can_lose_connections() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool allowed = enable_repair_mode(socket);
    ::close(socket);
    return allowed;
}

std::size_t lose_connections(const base::address& local_address) {
    std::size_t lost = 0;
    std::error_code ec;
    for (const std::filesystem::directory_entry& row :
         std::filesystem::directory_iterator("/proc/self/fd", ec)) {
        const int descriptor = std::stoi(row.path().filename().string());
        const bool matches = local_address_of(descriptor) == local_address;
        lost += matches && enable_repair_mode(descriptor) && disconnect(descriptor) ? 1 : 0;
    }
    return lost;
}

} // namespace rattanbay::emulator
