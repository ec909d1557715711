#include "celerykeel/testing/crowd.h"

#include <fcntl.h>       // for fcntl
#include <poll.h>        // for poll
#include <sys/socket.h>  // for send
#include <unistd.h>      // for close

#include <algorithm>  // for std::min
#include <cerrno>     // for errno

#include "celerykeel/testing/edge_process.h"  // for OpenConnection

namespace celerykeel::testing {

namespace {

constexpr int kPollMillis = 50;

// Drops what was received. @return false if the connection has ended.
bool Drain(int descriptor) {
  char piece[16384];
  while (true) {
    const ssize_t count = recv(descriptor, piece, sizeof(piece), 0);
    if (count <= 0) {
      return count < 0 && errno == EAGAIN;
    }
  }
}

}  // namespace

Crowd::Crowd(std::string to_ip,
             uint16_t to_port,
             size_t connections,
             CrowdBytes sent)
    : ip(std::move(to_ip)),
      port(to_port),
      bytes(std::move(sent)),
      members(connections) {
  for (Member& member : this->members) {
    this->Open(member);
  }
}

Crowd::~Crowd() {
  for (const Member& member : this->members) {
    close(member.descriptor);
  }
}

void Crowd::Open(Member& member) {
  if (member.descriptor >= 0) {
    close(member.descriptor);
    ++this->replaced;
  }
  member = {.descriptor = OpenConnection(this->ip, this->port), .sent = 0};
  fcntl(member.descriptor, F_SETFL, O_NONBLOCK);
}

// @return false if the connection has ended.
bool Crowd::SendSome(Member& member) {
  std::string_view rest(this->bytes.first);
  if (member.sent < rest.size()) {
    rest.remove_prefix(member.sent);
  } else if (!this->bytes.again.empty()) {
    rest = this->bytes.again;
    rest.remove_prefix((member.sent - this->bytes.first.size()) % rest.size());
  } else {
    return true;
  }
  rest = rest.substr(0, this->bytes.piece_bytes);
  const ssize_t count =
      send(member.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
  if (count < 0) {
    return errno == EAGAIN;
  }
  member.sent += static_cast<size_t>(count);
  this->sent_bytes += static_cast<size_t>(count);
  return true;
}

void Crowd::Send(size_t total_bytes,
                 std::chrono::milliseconds idle,
                 const std::function<bool()>& stop) {
  constexpr size_t kBytesPerStopCheck = 1024UL * 1024;
  const size_t most_replaced = total_bytes / 16384 + 1;
  size_t next_check = 0;
  auto last_progress = std::chrono::steady_clock::now();
  while (this->sent_bytes < total_bytes && this->replaced < most_replaced &&
         std::chrono::steady_clock::now() < last_progress + idle) {
    if (this->sent_bytes >= next_check) {
      if (stop()) {
        return;
      }
      next_check = this->sent_bytes + kBytesPerStopCheck;
    }
    std::vector<pollfd> polled;
    for (const Member& member : this->members) {
      const bool is_done =
          this->bytes.again.empty() && member.sent >= this->bytes.first.size();
      const int events =
          (this->bytes.reads ? POLLIN : 0) | (is_done ? 0 : POLLOUT);
      polled.push_back({.fd = member.descriptor,
                        .events = static_cast<short>(events),
                        .revents = 0});
    }
    poll(polled.data(), polled.size(), kPollMillis);
    for (size_t i = 0; i < polled.size(); ++i) {
      Member& member = this->members[i];
      const size_t before = this->sent_bytes;
      bool is_open = (polled[i].revents & (POLLERR | POLLHUP | POLLNVAL)) == 0;
      if ((polled[i].revents & POLLIN) != 0) {
        is_open = is_open && Drain(member.descriptor);
      }
      if (is_open && (polled[i].revents & POLLOUT) != 0) {
        is_open = this->SendSome(member);
      }
      if (!is_open || (this->bytes.connection_bytes > 0 &&
                       member.sent >= this->bytes.connection_bytes)) {
        this->Open(member);
      }
      if (this->sent_bytes > before) {
        last_progress = std::chrono::steady_clock::now();
      }
    }
  }
}

}  // namespace celerykeel::testing
