#pragma once

#include "celerykeel/node/call_path.h"    // for CallPtr
#include "celerykeel/node/turn_holder.h"  // for TurnPermit

namespace celerykeel {

struct Node;

/// @brief Waits for the store if a turn is retained and can't be recorded
/// before its deadline otherwise; see WorthwhileWait. The turn runs without the
/// store up to its end.
/// @return false if the turn must be refused.
Task<bool> AwaitStoreForEnd(Node& node, CallPtr call);

/// @brief Waits for coverage of a turn while the store is unavailable: tokens
/// that are not covered must not be delivered.
/// @return false if the turn must be refused.
Task<bool> AwaitCoverage(Node& node, CallPtr call, const TurnPermit& permit);

}  // namespace celerykeel
