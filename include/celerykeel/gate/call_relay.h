#pragma once

#include <functional>  // for std::function
#include <memory>      // for std::shared_ptr
#include <optional>    // for std::optional
#include <set>         // for std::set
#include <string>      // for std::string
#include <variant>     // for std::variant

#include "celerykeel/call.pb.h"           // for pb::CallRequest
#include "celerykeel/core/time.h"         // for Duration
#include "celerykeel/gate/credentials.h"  // for Caller
#include "celerykeel/gate/owner_link.h"   // for OwnerLink
#include "celerykeel/net/feed_client.h"   // for FleetView

namespace celerykeel {

/// @brief What a relay needs of its gate.
struct RelayContext {
  std::function<FleetView()> view;
  OwnerLink* link = nullptr;
  Duration owner_patience = std::chrono::seconds(15);
  Duration config_patience = std::chrono::seconds(4);
  /// False once nobody waits for the answer; asked now and then.
  std::function<bool()> caller_waits;
};

/// @brief Part of a streamed answer: whole server-sent events.
struct AnswerChunk {
  std::string data;
};

using RelayItem = std::variant<pb::CallAccepted,
                               AnswerChunk,
                               pb::CallFinished,
                               pb::ProgramReport,
                               pb::CallRefused>;

/// @brief Why a caller with this key, or with none, may not go on here now.
std::optional<pb::CallRefused> CheckCaller(const FleetView& view,
                                           const std::optional<Caller>& caller,
                                           Duration config_patience,
                                           Duration now);

/// @brief Carries one message to the owner of its program and the answers
/// back, and follows the program when its owner changes.
class CallRelay {
 public:
  /// @param caller empty on a route that is open to all.
  CallRelay(RelayContext given_context,
            pb::CallMessage given_message,
            std::optional<Caller> given_caller);
  ~CallRelay();

  CallRelay(const CallRelay&) = delete;
  CallRelay& operator=(const CallRelay&) = delete;

  /// @brief Waits for the next thing to tell the caller. A CallFinished, a
  /// ProgramReport and a CallRefused are the last. CANCELLED means that the
  /// caller has gone.
  RelayItem Next();

  /// @brief Tells the owner that nobody waits for the answer any more.
  void Cancel(std::string_view reason);

 private:
  std::optional<RelayItem> HandleEvent(OwnerEvent event);
  std::optional<RelayItem> HandleReply(pb::CallReply& reply);
  std::optional<RelayItem> HandleChunk(std::string_view data);
  std::optional<RelayItem> HandleRefusal(const pb::CallRefused& refusal);
  void SendIfDue(const FleetView& view, Duration now);
  void LoseOwner(Duration now);
  Duration WaitTime(Duration now) const;
  pb::CallRefused MakeFinal(pb::RefusalType type,
                            std::string_view detail,
                            Duration retry_after) const;

  RelayContext context;
  pb::CallMessage message;
  ProgramName program;
  std::optional<Caller> caller;
  std::shared_ptr<PendingCall> pending;

  Incarnation owner = 0;  // that the message was last sent to
  std::string address;    // of its scheduler
  bool must_send = true;  // as soon as `send_at` has come
  Duration send_at{};
  bool answered = false;           // the owner has taken the call
  Duration silent_since{};         // since when it has not
  std::set<Incarnation> in_doubt;  // owners that may have run it
  std::string relayed;             // the answer's bytes that the caller has
  size_t position = 0;             // of this attempt within them
};

}  // namespace celerykeel
