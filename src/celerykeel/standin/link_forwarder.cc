#include "celerykeel/standin/link_forwarder.h"

#include <netinet/tcp.h>  // for TCP_NODELAY
#include <sys/socket.h>   // for accept4, connect, recv, send, shutdown
#include <unistd.h>       // for close

#include <algorithm>  // for std::min
#include <array>      // for std::array
#include <cerrno>     // for errno

namespace celerykeel {

namespace {

constexpr size_t kLongestQueueBytes = 4'194'304;
constexpr size_t kReadBytes = 65'536;
constexpr int kNoDescriptor = -1;  // poll passes over it

bool IsTemporary(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

void SetNoDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// The events that the end `descriptor` is watched for: it is the sender of one
// direction and the receiver of the other.
pollfd EntryOf(const LinkDirection& sends,
               const LinkDirection& receives,
               Duration now) {
  pollfd entry{.fd = sends.from, .events = 0, .revents = 0};
  if (!sends.has_ended && sends.bytes.size < kLongestQueueBytes) {
    entry.events |= POLLIN;
  }
  if (!ReleasedBytes(receives.bytes, now).empty()) {
    entry.events |= POLLOUT;
  }
  if (entry.events == 0) {
    entry.fd = kNoDescriptor;
  }
  return entry;
}

// Returns false if the connection is broken.
bool ReadFrom(LinkDirection& direction, Duration release_at) {
  std::array<char, kReadBytes> buffer{};
  const ssize_t got = recv(direction.from, buffer.data(), buffer.size(), 0);
  if (got > 0) {
    PushBytes(direction.bytes, {buffer.data(), static_cast<size_t>(got)},
              release_at);
    return true;
  }
  direction.has_ended = got == 0;
  return got == 0 || IsTemporary(errno);
}

// Returns false if the connection is broken.
bool WriteTo(LinkDirection& direction, Duration now) {
  const std::string_view bytes = ReleasedBytes(direction.bytes, now);
  if (bytes.empty()) {
    return true;
  }
  const ssize_t sent =
      send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent < 0) {
    return IsTemporary(errno);
  }
  DropBytes(direction.bytes, static_cast<size_t>(sent));
  return true;
}

void PassOnEnd(LinkDirection& direction) {
  if (direction.has_ended && !direction.is_shut && direction.bytes.size == 0) {
    shutdown(direction.to, SHUT_WR);
    direction.is_shut = true;
  }
}

void Serve(LinkConnection& connection,
           const pollfd& near,
           const pollfd& far,
           Duration delay,
           Duration now) {
  constexpr int kReadable = POLLIN | POLLHUP | POLLERR;
  bool is_whole = true;
  if ((near.revents & kReadable) != 0) {
    is_whole = is_whole && ReadFrom(connection.there, now + delay);
  }
  if ((far.revents & kReadable) != 0) {
    is_whole = is_whole && ReadFrom(connection.back, now + delay);
  }
  if ((near.revents & POLLOUT) != 0) {
    is_whole = is_whole && WriteTo(connection.back, now);
  }
  if ((far.revents & POLLOUT) != 0) {
    is_whole = is_whole && WriteTo(connection.there, now);
  }
  PassOnEnd(connection.there);
  PassOnEnd(connection.back);
  connection.is_broken =
      !is_whole || (connection.there.is_shut && connection.back.is_shut);
}

void Close(const LinkConnection& connection) {
  close(connection.there.from);
  close(connection.there.to);
}

void Accept(LinkForwarder& forwarder) {
  const int near = accept4(forwarder.listener, nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (near < 0) {
    return;
  }
  if (forwarder.mode == LinkMode::kClosed) {
    close(near);
    return;
  }
  const int far =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect(far, reinterpret_cast<const sockaddr*>(&forwarder.target),
              sizeof(forwarder.target)) != 0 &&
      errno != EINPROGRESS) {
    close(near);
    close(far);
    return;
  }
  SetNoDelay(near);
  SetNoDelay(far);
  LinkConnection connection;
  connection.there.from = connection.back.to = near;
  connection.there.to = connection.back.from = far;
  forwarder.connections.push_back(std::move(connection));
}

}  // namespace

std::vector<pollfd> PollEntries(const LinkForwarder& forwarder, Duration now) {
  const bool is_hung = forwarder.mode == LinkMode::kHung;
  std::vector<pollfd> entries = {
      {.fd = is_hung ? kNoDescriptor : forwarder.listener,
       .events = POLLIN,
       .revents = 0}};
  for (const auto& [there, back, is_broken] : forwarder.connections) {
    entries.push_back(EntryOf(there, back, now));
    entries.push_back(EntryOf(back, there, now));
    if (is_hung) {
      entries[entries.size() - 2].fd = kNoDescriptor;
      entries.back().fd = kNoDescriptor;
    }
  }
  return entries;
}

std::optional<Duration> NextRelease(const LinkForwarder& forwarder) {
  std::optional<Duration> earliest;
  if (forwarder.mode == LinkMode::kHung) {
    return earliest;
  }
  for (const LinkConnection& connection : forwarder.connections) {
    for (const LinkDirection* direction :
         {&connection.there, &connection.back}) {
      if (const auto release_at = NextRelease(direction->bytes); release_at) {
        earliest = std::min(earliest.value_or(*release_at), *release_at);
      }
    }
  }
  return earliest;
}

void MoveBytes(LinkForwarder& forwarder,
               const std::vector<pollfd>& entries,
               Duration now) {
  size_t next = 1;
  for (LinkConnection& connection : forwarder.connections) {
    Serve(connection, entries[next], entries[next + 1], forwarder.delay, now);
    next += 2;
  }
  std::erase_if(forwarder.connections, [](const LinkConnection& connection) {
    if (connection.is_broken) {
      Close(connection);
    }
    return connection.is_broken;
  });
  if ((entries[0].revents & POLLIN) != 0) {
    Accept(forwarder);
  }
}

void SetLinkMode(LinkForwarder& forwarder, LinkMode mode) {
  forwarder.mode = mode;
  if (mode == LinkMode::kClosed) {
    CloseConnections(forwarder);
  }
}

void CloseConnections(LinkForwarder& forwarder) {
  for (const LinkConnection& connection : forwarder.connections) {
    Close(connection);
  }
  forwarder.connections.clear();
}

}  // namespace celerykeel
