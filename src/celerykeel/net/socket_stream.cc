#include "celerykeel/net/socket_stream.h"

#include <arpa/inet.h>   // for inet_ntop
#include <poll.h>        // for poll
#include <sys/socket.h>  // for recv, send

#include <algorithm>  // for std::min, std::max
#include <cerrno>     // for errno

#include "celerykeel/base/clock.h"  // for Now

namespace celerykeel {

namespace {

constexpr size_t kReadBytes = 16'384;

bool Wait(int fd, short events, Duration timeout) {
  const Duration until = Now() + timeout;
  for (;;) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        std::max(until - Now(), Duration::zero()));
    pollfd item{.fd = fd, .events = events, .revents = 0};
    const int ready = poll(&item, 1, static_cast<int>(left.count()));
    if (ready >= 0 || errno != EINTR) {
      return ready > 0;
    }
  }
}

void ReadAddress(const sockaddr_in& address, std::string& ip, int& port) {
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  ip = text;
  port = ntohs(address.sin_port);
}

}  // namespace

SocketStream::SocketStream(int given_socket, SocketLimits given_limits)
    : fd(given_socket), limits(given_limits) {}

bool SocketStream::WaitForRequest(Duration timeout) const {
  return this->taken < this->buffer.size() || Wait(this->fd, POLLIN, timeout);
}

void SocketStream::BeginRequest() {
  this->deadline = Now() + this->limits.request_timeout;
  this->received = 0;
}

bool SocketStream::IsOverLimit() const {
  return this->received > this->limits.request_bytes;
}

bool SocketStream::IsConnected() const {
  char byte = 0;
  const ssize_t got = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

bool SocketStream::is_readable() const {
  return this->WaitForRequest(
      std::max(this->deadline - Now(), Duration::zero()));
}

bool SocketStream::is_writable() const {
  return Wait(this->fd, POLLOUT, this->limits.write_timeout) &&
         this->IsConnected();
}

bool SocketStream::Fill() {
  const Duration left = this->deadline - Now();
  if (left <= Duration::zero() || !Wait(this->fd, POLLIN, left)) {
    return false;
  }
  this->buffer.resize(kReadBytes);
  const ssize_t got = recv(this->fd, this->buffer.data(), kReadBytes, 0);
  this->buffer.resize(got > 0 ? static_cast<size_t>(got) : 0);
  this->taken = 0;
  this->received += this->buffer.size();
  return got > 0 && !this->IsOverLimit();
}

ssize_t SocketStream::read(char* data, size_t size) {
  if (this->taken == this->buffer.size() && !this->Fill()) {
    return -1;
  }
  const size_t count = std::min(size, this->buffer.size() - this->taken);
  this->buffer.copy(data, count, this->taken);
  this->taken += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* data, size_t size) {
  if (!Wait(this->fd, POLLOUT, this->limits.write_timeout)) {
    return -1;
  }
  return send(this->fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getpeername(this->fd, reinterpret_cast<sockaddr*>(&address), &size) ==
      0) {
    ReadAddress(address, ip, port);
  }
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (getsockname(this->fd, reinterpret_cast<sockaddr*>(&address), &size) ==
      0) {
    ReadAddress(address, ip, port);
  }
}

int SocketStream::socket() const {
  return this->fd;
}

}  // namespace celerykeel
