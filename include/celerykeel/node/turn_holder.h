#pragma once

#include <memory>    // for std::shared_ptr
#include <optional>  // for std::optional
#include <utility>   // for std::move

#include "celerykeel/node.pb.h"         // for pb::TurnGrant
#include "celerykeel/node/call_path.h"  // for CallPtr
#include "celerykeel/node/peer_link.h"  // for PeerLinkPtr

namespace celerykeel {

/// @brief The call for an admission. It brings the holder's decision, and later
/// that the tokens are covered. Its destruction ends the call, so that the link
/// keeps nothing of it.
struct AdmissionCall {
  AdmissionCall(asio::io_context& loop,
                PeerLinkPtr over,
                std::shared_ptr<Promise<bool>> on_covered)
      : link(std::move(over)),
        granted(std::in_place, loop),
        covered(std::move(on_covered)) {}
  ~AdmissionCall() { EndCall(*this->link, this->id); }
  AdmissionCall(const AdmissionCall&) = delete;
  AdmissionCall& operator=(const AdmissionCall&) = delete;

  PeerLinkPtr link;
  uint64_t id = 0;
  // Empty once the decision was taken, which has the turn's history.
  std::optional<Promise<std::optional<pb::TurnGrant>>> granted;
  std::shared_ptr<Promise<bool>> covered;
};

/// @brief The decision of the slot's holder on a turn.
struct TurnPermit {
  pb::TurnGrant grant;
  std::shared_ptr<AdmissionCall> call;     // null if `covered` needs none
  std::shared_ptr<Promise<bool>> covered;  // tokens may be delivered
  uint32_t slot = 0;
  // At least one attempt got no answer, so a holder may count the turn as
  // running.
  bool may_be_counted = false;
};

/// @brief Returns the slot of the call's program.
uint32_t SlotOfCall(const Node& node, const Call& call);

/// @brief Requests admission from the slot's current holder until it decides,
/// `timeout` ends or the caller disconnects. In the latter two cases the
/// verdict is NOT_HOLDER or BUDGET_HELD.
Task<TurnPermit> RequestTurnPermit(Node& node, CallPtr call, Duration timeout);

/// @brief Reports the end of a turn to the slot's holder, and repeats the
/// report until the holder has recorded it or `timeout` ends.
/// @param history text of the chain that the turn goes on from, for a holder
/// that lacks it.
/// @return true if it is recorded; a retained turn is durable then.
Task<bool> ReportTurnEnd(Node& node,
                         pb::TurnEnd end,
                         std::string history,
                         Duration timeout);

/// @brief Reports the end of a turn in the background; logs a failure.
void ReportTurnEndInBackground(Node& node, pb::TurnEnd end);

}  // namespace celerykeel
