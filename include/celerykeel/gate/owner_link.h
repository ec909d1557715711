#pragma once

#include <cstdint>      // for uint64_t
#include <memory>       // for std::unique_ptr, std::shared_ptr
#include <string>       // for std::string
#include <string_view>  // for std::string_view

#include <tl/expected.hpp>  // for tl::expected

#include "celerykeel/call.pb.h"           // for pb::CallMessage, pb::CallReply
#include "celerykeel/net/bounded_ring.h"  // for BoundedRing
#include "celerykeel/net/messenger.h"     // for MessengerError

namespace celerykeel {

/// @brief Something that an owner's scheduler, or the loss of its connection,
/// tells about one call.
struct OwnerEvent {
  enum class Kind { kReply, kDisconnected, kWake };

  Kind kind = Kind::kWake;
  std::string address;  // of the scheduler; empty for a wake
  std::unique_ptr<pb::CallReply> reply;
};

/// @brief A call that waits for its owner: one reader, the caller's thread.
struct PendingCall {
  static constexpr size_t kEvents = 1024;

  explicit PendingCall(uint64_t call_id) : id(call_id), events(kEvents) {}

  const uint64_t id;
  /// Closed when the caller falls too far behind.
  BoundedRing<OwnerEvent> events;
};

/// @brief A gate's connections to the schedulers of the fleet.
class OwnerLink {
 public:
  static tl::expected<std::unique_ptr<OwnerLink>, MessengerError> Create();

  ~OwnerLink();

  /// @brief Registers a call under a new id.
  std::shared_ptr<PendingCall> Open();

  /// @brief Forgets a call; its replies are dropped from then on.
  void Close(const PendingCall& call);

  /// @brief Sends a message of a call to a scheduler (host:port).
  /// @return false if nothing was queued.
  bool Send(const PendingCall& call,
            std::string_view address,
            const pb::CallMessage& message);

  /// @brief Lets every waiting call look at the view again.
  void WakeAll();

 private:
  struct State;
  explicit OwnerLink(std::unique_ptr<State> initial);

  std::unique_ptr<State> state;
};

}  // namespace celerykeel
