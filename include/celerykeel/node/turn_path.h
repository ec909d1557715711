#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

/// @brief Returns the refusal of a turn if this instance already knows that the
/// program's token budget is spent, otherwise nothing.
std::optional<CallRefusal> RefusalIfBudgetSpent(Node& node, const Call& call);

/// @brief Serves a call on a streaming route. The slot's holder supplies the
/// history and checks the budget; events are relayed as they arrive.
Task<> ServeTurn(Node& node, CallPtr call);

}  // namespace celerykeel
