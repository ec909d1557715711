#pragma once

#include "celerykeel/node/call_path.h"  // for CallPtr

namespace celerykeel {

/// @brief Serves a call on a streaming route: history and budget come from the
/// slot's holder, the events are relayed as they come.
Task<> ServeTurn(Node& node, CallPtr call);

}  // namespace celerykeel
