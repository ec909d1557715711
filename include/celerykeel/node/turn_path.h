#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

/// @brief Returns the refusal of a turn if this instance already knows that the
/// program's token budget is spent, otherwise nothing.
std::optional<CallRefusal> RefusalIfBudgetSpent(Node& node, const Call& call);

/// @brief Serves a call on a streaming route and relays its events as they
/// arrive. For a retained route or a call with a token budget, the holder of
/// the program's slot admits the call and supplies its history.
Task<> ServeTurn(Node& node, CallPtr call);

}  // namespace celerykeel
