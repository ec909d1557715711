#pragma once

#include <arpa/inet.h>   // for htonl, ntohs
#include <netinet/in.h>  // for sockaddr_in
#include <sys/socket.h>  // for socket, bind, getsockname
#include <unistd.h>      // for close

#include <string>  // for std::string

namespace celerykeel {

/// @brief A loopback address that nobody listens on at the moment.
inline std::string FreeAddress() {
  const int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  bind(socket_fd, reinterpret_cast<const sockaddr*>(&address), length);
  getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(socket_fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace celerykeel
