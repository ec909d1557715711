#pragma once

#include <memory>  // for std::shared_ptr

#include "celerykeel/node.pb.h"         // for pb::TurnGrant
#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

/// @brief What the slot's holder said of a turn.
struct TurnPermit {
  pb::TurnGrant grant;
  std::shared_ptr<Promise<bool>> covered;  // tokens may be handed out
  uint32_t slot = 0;
  // A holder was asked and did not answer: it may count the turn as running.
  bool may_be_counted = false;
};

/// @brief Asks the slot's holder, wherever it is now, until it decides or
/// `patience` ends; then the verdict is NOT_HOLDER or BUDGET_HELD.
Task<TurnPermit> AskHolder(Node& node, CallPtr call, Duration patience);

/// @brief Tells the slot's holder how a turn ended, until it is noted.
/// @return true if it is; a kept turn is durable then.
Task<bool> TellHolder(Node& node, pb::TurnEnd end, Duration patience);

/// @brief The same beside the call's own path.
void TellHolderLater(Node& node, pb::TurnEnd end);

}  // namespace celerykeel
