#pragma once

#include <mutex>        // for std::mutex
#include <string>       // for std::string
#include <string_view>  // for std::string_view
#include <vector>       // for std::vector

#include "celerykeel/call.pb.h"        // for pb::CallReply
#include "celerykeel/net/messenger.h"  // for Messenger, Peer

namespace celerykeel {

/// @brief A request of a gate that waits for replies.
struct Requester {
  Peer peer;
  uint64_t id = 0;  // of the request, as the gate gave it

  friend bool operator==(const Requester&, const Requester&) = default;
};

/// @brief Sends a reply to the gate; a full ring drops it, and the gate sees
/// the loss by its own timeout.
void SendReply(Messenger& messenger, const Requester& to, pb::CallReply reply);

/// @brief The streamed answer of one call, shared by the thread that receives
/// it and by all callers that follow it.
class CallStream {
 public:
  explicit CallStream(Messenger& through) : messenger(through) {}

  /// @brief Sends the next events to all followers.
  void Relay(std::string_view events);

  /// @brief Adds a follower, which gets all events so far at once.
  void Follow(const Requester& requester);

  void Unfollow(const Requester& requester);

  /// @brief True once part of the answer was relayed.
  bool HasStarted() const;

 private:
  Messenger& messenger;
  mutable std::mutex mutex;
  std::string events;
  std::vector<Requester> followers;
};

}  // namespace celerykeel
