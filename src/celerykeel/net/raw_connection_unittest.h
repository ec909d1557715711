#pragma once

#include <arpa/inet.h>   // for inet_pton, htonl, htons
#include <netinet/in.h>  // for sockaddr_in
#include <poll.h>        // for poll
#include <sys/socket.h>  // for connect, send, recv
#include <unistd.h>      // for close, getpid

#include <atomic>       // for std::atomic
#include <cstdint>      // for uint32_t
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include "celerykeel/core/time.h"       // for Duration
#include "celerykeel/net/http_guard.h"  // for SplitAddress

namespace celerykeel::testing {

inline constexpr Duration kReadPatience = std::chrono::seconds(10);

/// @brief A loopback address whose port is free now. The port is below those
/// that the kernel gives to outgoing connections (from 32,768): one of these
/// may be taken by any process before the caller listens. Each process begins
/// at a port of its own.
inline std::string FreeAddress() {
  constexpr uint32_t kFirstPort = 20000;
  constexpr uint32_t kPorts = 12000;
  constexpr uint32_t kPortsPerProcess = 97;
  static std::atomic<uint32_t> next{static_cast<uint32_t>(getpid()) *
                                    kPortsPerProcess};
  while (true) {
    const auto port = static_cast<uint16_t>(kFirstPort + next++ % kPorts);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

/// @brief A TCP connection that sends what a proper client would not.
class RawConnection {
 public:
  explicit RawConnection(const std::string& address);
  ~RawConnection();

  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  /// @return false if the server has closed the connection.
  bool Send(std::string_view bytes) const;

  /// @brief Reads until the server closes, `wanted` was read, or the patience
  /// of ten seconds ends.
  std::string ReadUntil(std::string_view wanted);

  /// @brief Reads until the server closes; `closed` says whether it did.
  std::string ReadAll(bool& closed);

  void Close();

 private:
  bool ReadSome(Duration patience);

  int fd;
  std::string received;
};

inline RawConnection::RawConnection(const std::string& address)
    : fd(socket(AF_INET, SOCK_STREAM, 0)) {
  const auto [host, port] = SplitAddress(address);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &target.sin_addr);
  if (connect(this->fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) !=
      0) {
    this->Close();
  }
}

inline RawConnection::~RawConnection() {
  this->Close();
}

inline void RawConnection::Close() {
  if (this->fd >= 0) {
    close(this->fd);
    this->fd = -1;
  }
}

inline bool RawConnection::Send(std::string_view bytes) const {
  return send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(bytes.size());
}

inline bool RawConnection::ReadSome(Duration patience) {
  pollfd item{.fd = this->fd, .events = POLLIN, .revents = 0};
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(patience);
  if (poll(&item, 1, static_cast<int>(millis.count())) <= 0) {
    return false;
  }
  char bytes[4096];
  const ssize_t got = recv(this->fd, bytes, sizeof(bytes), 0);
  if (got <= 0) {
    this->Close();
    return false;
  }
  this->received.append(bytes, static_cast<size_t>(got));
  return true;
}

inline std::string RawConnection::ReadUntil(std::string_view wanted) {
  while (this->received.find(wanted) == std::string::npos &&
         this->ReadSome(kReadPatience)) {
  }
  return this->received;
}

inline std::string RawConnection::ReadAll(bool& closed) {
  while (this->ReadSome(kReadPatience)) {
  }
  closed = this->fd < 0;
  return this->received;
}

}  // namespace celerykeel::testing
