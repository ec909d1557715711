#pragma once

#include <netinet/in.h>  // for sockaddr_in
#include <poll.h>        // for pollfd

#include <cstdint>   // for uint64_t
#include <list>      // for std::list
#include <optional>  // for std::optional
#include <vector>    // for std::vector

#include "celerykeel/core/time.h"              // for Duration
#include "celerykeel/standin/delayed_bytes.h"  // for DelayedBytes

namespace celerykeel {

enum class LinkMode {
  kOpen,
  kClosed,  // connections are closed, new ones at once
  kHung,    // connections stay, and nothing moves
};

/// @brief One way of a forwarded connection.
struct LinkDirection {
  int from = -1;
  int to = -1;
  DelayedBytes bytes;
  bool has_ended = false;  // the sender has closed its end
  bool is_shut = false;    // and the receiver was told
};

struct LinkConnection {
  LinkDirection there;
  LinkDirection back;
  bool is_broken = false;
};

/// @brief The connections of a link; one thread owns it.
struct LinkForwarder {
  int listener = -1;
  sockaddr_in target{};
  Duration delay{};
  LinkMode mode = LinkMode::kOpen;
  std::list<LinkConnection> connections;
};

/// @brief What to wait for: entry 0 is the listener, then two entries for
/// each connection, in order.
std::vector<pollfd> PollEntries(const LinkForwarder& forwarder, Duration now);

/// @brief When the next delayed bytes are released, if there are any.
std::optional<Duration> NextRelease(const LinkForwarder& forwarder);

/// @brief Accepts, reads and writes what `entries`, filled in by poll, allow.
void MoveBytes(LinkForwarder& forwarder,
               const std::vector<pollfd>& entries,
               Duration now);

void SetLinkMode(LinkForwarder& forwarder, LinkMode mode);

/// @brief Closes all connections.
void CloseConnections(LinkForwarder& forwarder);

}  // namespace celerykeel
