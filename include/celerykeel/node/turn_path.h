#pragma once

#include <optional>  // for std::optional

#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

/// @brief The refusal of a turn whose budget is known to be spent here.
std::optional<CallRefusal> RefuseKnown(Node& node, const Call& call);

/// @brief Serves a call on a streaming route: history and budget come from the
/// slot's holder, the events are relayed as they come.
Task<> ServeTurn(Node& node, CallPtr call);

}  // namespace celerykeel
