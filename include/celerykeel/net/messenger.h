#pragma once

#include <functional>   // for std::function
#include <memory>       // for std::unique_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/core/time.h"  // for Duration

namespace celerykeel {

/// @brief Where a message came from or goes to: a connection that a peer made
/// to us, or one that we make to an address.
struct Peer {
  std::string routing_id;  // of a peer that connected to us
  std::string address;     // host:port of a peer that we connect to

  friend bool operator==(const Peer&, const Peer&) = default;
};

/// @brief The peer that listens at `address` (host:port).
Peer PeerAt(std::string_view address);

struct MessengerOptions {
  std::string listen;           // host:port; empty: take no connections
  size_t ring_capacity = 4096;  // messages waiting to be sent
  int64_t max_message_bytes = int64_t{64} * 1024 * 1024;
  Duration tick = std::chrono::milliseconds(100);
  Duration idle_timeout =
      std::chrono::seconds(60);  // closes connections we made
};

class Messenger;

/// @brief What a messenger calls, all on its own thread: none may block.
struct MessengerHandlers {
  /// A message came.
  std::function<void(Messenger&, const Peer&, std::string_view)> on_message;
  /// At least once per `tick`. May be empty.
  std::function<void(Messenger&)> on_tick;
  /// A connection that we made broke; it is tried again. May be empty.
  std::function<void(Messenger&, const Peer&)> on_disconnect;
};

/// @brief The address could not be listened on, or the library failed.
struct MessengerError {
  std::string address;
  int code = 0;  // errno
};

/// @brief One thread that owns the ZeroMQ sockets of one duty: it listens on
/// at most one address, and connects to others on first use.
class Messenger {
 public:
  static tl::expected<std::unique_ptr<Messenger>, MessengerError> Create(
      MessengerOptions options,
      MessengerHandlers handlers);

  /// Stops the thread; unsent messages are dropped.
  ~Messenger();

  Messenger(const Messenger&) = delete;
  Messenger& operator=(const Messenger&) = delete;

  /// @brief Queues one message, from any thread.
  /// @return false if the ring is full; nothing was queued.
  bool Send(const Peer& to, std::string payload);

 private:
  struct State;
  explicit Messenger(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
