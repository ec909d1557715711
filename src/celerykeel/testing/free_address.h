#pragma once

#include <arpa/inet.h>   // for htonl, htons
#include <netinet/in.h>  // for sockaddr_in
#include <sys/socket.h>  // for socket, bind
#include <unistd.h>      // for close, getpid

#include <cstdint>  // for uint32_t
#include <string>   // for std::string

namespace celerykeel {

/// @brief Returns a loopback address that nothing listens on. The port is from
/// 12000 to 18999, below the ephemeral ports of outgoing connections.
/// Concurrent test programs start the search at different ports.
inline std::string FreeAddress() {
  constexpr uint32_t kLowest = 12'000;
  constexpr uint32_t kPorts = 7'000;
  static uint32_t next = static_cast<uint32_t>(getpid()) * 61;
  while (true) {
    const uint32_t port = kLowest + next++ % kPorts;
    const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const int bound =
        bind(socket_fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address));
    close(socket_fd);
    if (bound == 0) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

}  // namespace celerykeel
